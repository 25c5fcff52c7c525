package operator

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Failure is the response body of a failed request.
type Failure struct {
	Code      result.Code    `json:"code"`
	Name      string         `json:"name"`
	Outcome   result.Outcome `json:"outcome"`
	Detail    string         `json:"detail"`
	RequestID string         `json:"request_id"`
	Verdict   *Verdict       `json:"verdict,omitempty"` // verdict on the edit, if there is one
}

// toResultError converts an error to a *result.Error.
func toResultError(err error) *result.Error {
	var resultErr *result.Error
	if errors.As(err, &resultErr) {
		return resultErr
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		detail := http.StatusText(httpErr.Code)
		if message, ok := httpErr.Message.(string); ok {
			detail = message
		}
		switch httpErr.Code {
		case http.StatusNotFound:
			return result.Errorf(result.NotFound, "%s", detail)
		case http.StatusMethodNotAllowed:
			return result.Errorf(result.MethodNotAllowed, "%s", detail)
		case http.StatusBadRequest, http.StatusUnsupportedMediaType:
			return result.Errorf(result.UsageError, "%s", detail)
		}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return result.Errorf(result.Unreachable, "the request timed out or was cancelled: %v", err)
	}
	return result.Errorf(result.Internal, "%v", err)
}
