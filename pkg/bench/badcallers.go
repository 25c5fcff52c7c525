package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// badCallerTimeout is how long a bad caller waits before it closes its connection.
const badCallerTimeout = 5 * time.Millisecond

// badCallers cycles through callers that disconnect early, send malformed requests,
// request unknown routes or cause 4xx responses. Their requests are not in the callers'
// ledger.
func (l *loadGenerator) badCallers(ctx context.Context, rate float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	names, _ := l.tb.scenario.routeTable()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t, ok := l.target(uint64(n))
		if !ok {
			continue
		}
		const kinds = 5
		kind, route := n%kinds, names[(n/kinds)%len(names)]
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.badCall(kind, n, t.addr, route)
		}()
	}
}

func (l *loadGenerator) badCall(kind, n int, addr, route string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	method, header := l.tb.scenario.Routes[route].Method, http.Header{"X-Request-Id": {fmt.Sprintf("bad-%d", n)}}
	header.Set("Idempotency-Key", fmt.Sprintf("bad-%d", n))
	header.Set(standin.HeaderWork, "20ms")
	var body io.Reader
	switch kind {
	case 0: // disconnects while its work runs
		ctx, cancel = context.WithTimeout(ctx, badCallerTimeout)
		defer cancel()
	case 1: // sends a partial body and disconnects
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf", route)
		time.Sleep(badCallerTimeout)
		return
	case 2: // sends malformed HTTP
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "GARBAGE\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n")
		time.Sleep(badCallerTimeout)
		return
	case 3: // sends a request that the server rejects
		header.Set(standin.HeaderStatus, "400")
	case 4:
		route = "no-such-route"
	}
	if method == http.MethodPost {
		body = strings.NewReader("bad")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+route, body)
	if err != nil {
		return
	}
	req.Header = header
	if resp, err := l.client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
