package standin

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// LogControl sets the faults and the retention of a Log.
type LogControl struct {
	Outage        bool  `json:"outage"`       // all calls fail
	DelayMS       int64 `json:"delay_ms"`     // delay of each call in milliseconds
	LoseResponses int   `json:"lose_answers"` // number of appends that will be written but return an error
	KeepRecords   int64 `json:"keep_records"` // records kept in each stream; 0 keeps all
	KeepMS        int64 `json:"keep_ms"`      // retention of records in milliseconds; 0 keeps all
}

// Log is a simulated log service. It implements platformapi.Log within a process and
// serves the same API over HTTP. It is safe for concurrent use.
type Log struct {
	now func() time.Time

	mu      sync.Mutex
	control LogControl
	streams map[string]*logStream
	changed chan struct{} // closed and replaced at each append and each SetControl
}

type logStream struct {
	oldestOffset platformapi.Offset
	records      []logRecord
}

type logRecord struct {
	data       []byte
	appendedAt time.Time
}

func (s *logStream) nextOffset() platformapi.Offset {
	return s.oldestOffset + platformapi.Offset(len(s.records))
}

// NewLog returns an empty log. If now is nil, time.Now is used.
func NewLog(control LogControl, now func() time.Time) *Log {
	if now == nil {
		now = time.Now
	}
	return &Log{now: now, control: control, streams: make(map[string]*logStream), changed: make(chan struct{})}
}

// Control returns the current control values.
func (l *Log) Control() LogControl {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.control
}

// SetControl replaces the control values. An outage ends waiting reads at once.
func (l *Log) SetControl(c LogControl) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.control = c
	for _, s := range l.streams {
		l.expire(s)
	}
	l.notify()
}

// notify wakes the waiting reads. The caller holds mu.
func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// getStream returns a stream and creates it when necessary. The caller holds mu.
func (l *Log) getStream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{}
		l.streams[name] = s
	}
	return s
}

// expire removes the records beyond the retention. The caller holds mu.
func (l *Log) expire(s *logStream) {
	expired := 0
	if keep := l.control.KeepRecords; keep > 0 {
		expired = max(0, len(s.records)-int(keep))
	}
	if l.control.KeepMS > 0 {
		oldest := l.now().Add(-time.Duration(l.control.KeepMS) * time.Millisecond)
		for expired < len(s.records) && s.records[expired].appendedAt.Before(oldest) {
			expired++
		}
	}
	s.records = s.records[expired:]
	s.oldestOffset += platformapi.Offset(expired)
}

// errOutage returns the error of all calls during an outage.
func errOutage() error { return result.Errorf(result.StoreAway, "simulated outage") }

// applyFaults waits for the configured delay or the end of ctx, and returns an error
// during an outage.
func (l *Log) applyFaults(ctx context.Context) error {
	c := l.Control()
	if c.DelayMS > 0 {
		timer := time.NewTimer(time.Duration(c.DelayMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return result.Errorf(result.StoreAway, "%s", ctx.Err())
		}
	}
	if c.Outage {
		return errOutage()
	}
	return nil
}

// Append implements platformapi.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (platformapi.Offset, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.control.Outage {
		return 0, errOutage()
	}
	s := l.getStream(stream)
	offset := s.nextOffset()
	s.records = append(s.records, logRecord{slices.Clone(data), l.now()})
	l.expire(s)
	l.notify()
	if l.control.LoseResponses > 0 {
		l.control.LoseResponses--
		return 0, result.Errorf(result.StoreAway, "simulated loss of the response")
	}
	return offset, nil
}

// Read implements platformapi.Log.
func (l *Log) Read(ctx context.Context, stream string, from platformapi.Offset, maxBytes int, wait bool) (platformapi.Batch, error) {
	if err := l.applyFaults(ctx); err != nil {
		return platformapi.Batch{}, err
	}
	for {
		batch, changed, err := l.tryRead(stream, from, maxBytes)
		if err != nil || len(batch.Records) > 0 || !wait {
			return batch, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return batch, nil
		}
	}
}

// tryRead returns the records that are available now, and a channel that is closed at
// the next append or SetControl. The first record is returned even if it is larger than
// maxBytes.
func (l *Log) tryRead(stream string, from platformapi.Offset, maxBytes int) (platformapi.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.control.Outage {
		return platformapi.Batch{}, nil, errOutage()
	}
	s := l.getStream(stream)
	l.expire(s)
	batch := platformapi.Batch{OldestOffset: s.oldestOffset, NextOffset: s.nextOffset(), KeepRecords: l.control.KeepRecords, KeepMS: l.control.KeepMS}
	size, now := 0, l.now()
	for offset := max(from, s.oldestOffset); offset < s.nextOffset(); offset++ {
		rec := s.records[offset-s.oldestOffset]
		if size += len(rec.data); size > maxBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, platformapi.Record{Offset: offset, Data: rec.data, AgeMS: now.Sub(rec.appendedAt).Milliseconds()})
	}
	return batch, l.changed, nil
}

// maxBodyBytes limits the body of a request. The largest record is 1 MiB before its
// base64 encoding.
const maxBodyBytes = 4 << 20

// Handler returns the HTTP handler of the API that package platformapi defines and of
// /control (GET and POST of LogControl).
func (l *Log) Handler() http.Handler {
	e := newEcho()
	e.POST("/v1/streams/:stream/records", l.serveAppend)
	e.GET("/v1/streams/:stream/records", l.serveRead)
	e.GET("/control", func(c echo.Context) error { return c.JSON(http.StatusOK, l.Control()) })
	e.POST("/control", func(c echo.Context) error {
		control := l.Control()
		if err := c.Bind(&control); err != nil {
			return err
		}
		l.SetControl(control)
		return c.JSON(http.StatusOK, control)
	})
	return e
}

func (l *Log) serveAppend(c echo.Context) error {
	var in platformapi.AppendRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	offset, err := l.Append(c.Request().Context(), c.Param("stream"), in.Data)
	if err != nil {
		return serveError(c, err)
	}
	return c.JSON(http.StatusOK, platformapi.AppendResponse{Offset: offset})
}

func (l *Log) serveRead(c echo.Context) error {
	from, err := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "query parameter from is not an offset")
	}
	maxBytes, err := strconv.Atoi(c.QueryParam("max"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "query parameter max is not a number")
	}
	ctx := c.Request().Context()
	waitMS, _ := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	if waitMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(time.Duration(waitMS)*time.Millisecond, platformapi.MaxWait))
		defer cancel()
	}
	batch, err := l.Read(ctx, c.Param("stream"), platformapi.Offset(from), maxBytes, waitMS > 0)
	if err != nil {
		return serveError(c, err)
	}
	return c.JSON(http.StatusOK, batch)
}
