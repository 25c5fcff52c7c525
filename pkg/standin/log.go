package standin

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// LogControl switches the faults of a Log.
type LogControl struct {
	Outage      bool  `json:"outage"`       // all calls fail
	DelayMS     int64 `json:"delay_ms"`     // each call takes this long, in milliseconds
	LoseAnswers int   `json:"lose_answers"` // the next appends are written and answered with an error
	KeepRecords int64 `json:"keep_records"` // records kept in each stream; 0 keeps all
	KeepMS      int64 `json:"keep_ms"`      // milliseconds for which records are kept; 0 keeps them
}

// Log is a simulated log service. It is a platform.Log for use within a process and
// serves the same over HTTP. It is safe for concurrent use.
type Log struct {
	now func() time.Time

	mu      sync.Mutex
	control LogControl
	streams map[string]*logStream
	changed chan struct{} // closed at each append and each change of the control
}

type logStream struct {
	base    platform.Offset
	records []logRecord
}

type logRecord struct {
	data []byte
	at   time.Time
}

func (s *logStream) next() platform.Offset { return s.base + platform.Offset(len(s.records)) }

// NewLog returns an empty log. A nil now is time.Now.
func NewLog(control LogControl, now func() time.Time) *Log {
	if now == nil {
		now = time.Now
	}
	return &Log{now: now, control: control, streams: make(map[string]*logStream), changed: make(chan struct{})}
}

// Control returns the faults in force.
func (l *Log) Control() LogControl {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.control
}

// SetControl puts faults into force. Waiting reads notice an outage at once.
func (l *Log) SetControl(c LogControl) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.control = c
	for _, s := range l.streams {
		l.expire(s)
	}
	l.notify()
}

// notify wakes the waiting reads. The caller holds the lock.
func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{}
		l.streams[name] = s
	}
	return s
}

func (l *Log) expire(s *logStream) {
	drop := 0
	if keep := l.control.KeepRecords; keep > 0 {
		drop = max(0, len(s.records)-int(keep))
	}
	if l.control.KeepMS > 0 {
		oldest := l.now().Add(-time.Duration(l.control.KeepMS) * time.Millisecond)
		for drop < len(s.records) && s.records[drop].at.Before(oldest) {
			drop++
		}
	}
	s.records = s.records[drop:]
	s.base += platform.Offset(drop)
}

// errAway is the answer during an outage.
func errAway() error { return result.Errorf(result.StoreAway, "simulated outage") }

// delay waits as long as the control says. It returns early when ctx ends.
func (l *Log) delay(ctx context.Context) error {
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
		return errAway()
	}
	return nil
}

// Append appends a record, as platform.Log says.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	if err := l.delay(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.control.Outage {
		return 0, errAway()
	}
	s := l.stream(stream)
	offset := s.next()
	s.records = append(s.records, logRecord{slices.Clone(data), l.now()})
	l.expire(s)
	l.notify()
	if l.control.LoseAnswers > 0 {
		l.control.LoseAnswers--
		return 0, result.Errorf(result.StoreAway, "simulated loss of the answer")
	}
	return offset, nil
}

// Read reads records, as platform.Log says.
func (l *Log) Read(ctx context.Context, stream string, from platform.Offset, maxBytes int, wait bool) (platform.Batch, error) {
	if err := l.delay(ctx); err != nil {
		return platform.Batch{}, err
	}
	for {
		batch, changed, err := l.read(stream, from, maxBytes)
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

func (l *Log) read(stream string, from platform.Offset, maxBytes int) (platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.control.Outage {
		return platform.Batch{}, nil, errAway()
	}
	s := l.stream(stream)
	l.expire(s)
	batch := platform.Batch{Base: s.base, Next: s.next(), KeepRecords: l.control.KeepRecords, KeepMS: l.control.KeepMS}
	size, now := 0, l.now()
	for at := max(from, s.base); at < s.next(); at++ {
		rec := s.records[at-s.base]
		if size += len(rec.data); size > maxBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, platform.Record{Offset: at, Data: rec.data, AgeMS: now.Sub(rec.at).Milliseconds()})
	}
	return batch, l.changed, nil
}

// maxBodyBytes bounds a request's body; the largest record is 1 MiB, in base64.
const maxBodyBytes = 4 << 20

// Handler serves the API of package platform, and the controls at /control (GET and
// POST of LogControl).
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
	var in platform.AppendRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	offset, err := l.Append(c.Request().Context(), c.Param("stream"), in.Data)
	if err != nil {
		return serveError(c, err)
	}
	return c.JSON(http.StatusOK, platform.AppendAnswer{Offset: offset})
}

func (l *Log) serveRead(c echo.Context) error {
	from, err := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "from is no offset")
	}
	maxBytes, err := strconv.Atoi(c.QueryParam("max"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "max is no number")
	}
	ctx := c.Request().Context()
	waitMS, _ := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	if waitMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(time.Duration(waitMS)*time.Millisecond, platform.MaxWait))
		defer cancel()
	}
	batch, err := l.Read(ctx, c.Param("stream"), platform.Offset(from), maxBytes, waitMS > 0)
	if err != nil {
		return serveError(c, err)
	}
	return c.JSON(http.StatusOK, batch)
}
