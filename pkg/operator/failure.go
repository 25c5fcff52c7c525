package operator

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Failure is the body of every answer that is no success.
type Failure struct {
	Code      result.Code    `json:"code"`
	Name      string         `json:"name"`
	Outcome   result.Outcome `json:"outcome"`
	Detail    string         `json:"detail"`
	RequestID string         `json:"request_id"`
	Verdict   *Verdict       `json:"verdict,omitempty"` // of an edit that was judged and not accepted
}

// asResult finds the result code of an error.
func asResult(err error) *result.Error {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded
	}
	var status *echo.HTTPError
	if errors.As(err, &status) {
		detail := http.StatusText(status.Code)
		if text, ok := status.Message.(string); ok {
			detail = text
		}
		switch status.Code {
		case http.StatusNotFound:
			return result.Errorf(result.NotFound, "%s", detail)
		case http.StatusMethodNotAllowed:
			return result.Errorf(result.MethodNotAllowed, "%s", detail)
		case http.StatusBadRequest, http.StatusUnsupportedMediaType:
			return result.Errorf(result.UsageError, "%s", detail)
		}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return result.Errorf(result.Unreachable, "the request's time is over: %v", err)
	}
	return result.Errorf(result.Internal, "%v", err)
}
