// Package faultproxy is a TCP proxy on loopback that injects faults: bytes that are
// swallowed, delays, limited bandwidth, resets, early ends and refused connects. It
// is for tests.
package faultproxy

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	copyBuffer = 16 << 10 // bytes moved at once
	maxPieces  = 64       // pieces of one direction that are on the way at once
)

// Flow is what happens to the bytes of one direction. The zero value passes them on.
type Flow struct {
	Cut        bool          `json:"cut,omitempty"`         // swallow bytes silently; both ends stay connected
	Delay      time.Duration `json:"delay,omitempty"`       // added to each piece, in order
	Jitter     time.Duration `json:"jitter,omitempty"`      // uniform addition to Delay, from the seed
	Bandwidth  int           `json:"bandwidth,omitempty"`   // bytes per second; 0 for no limit
	CloseAfter int64         `json:"close_after,omitempty"` // bytes of a connection after which it is ended; 0 for never
	ResetAfter int64         `json:"reset_after,omitempty"` // bytes of a connection after which it is reset; 0 for never
}

// Faults is the state of the proxy. Flows apply to open connections at once; counts
// of bytes start with the connection.
type Faults struct {
	Up     Flow `json:"up"`               // from the client to the target
	Down   Flow `json:"down"`             // from the target to the client
	Refuse bool `json:"refuse,omitempty"` // reset new connections before any byte
}

// Proxy is a running fault-injecting proxy.
type Proxy struct {
	target string
	ln     net.Listener

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	pairs  map[*pair]struct{}
	closed bool
	wg     sync.WaitGroup

	swallowed atomic.Int64
}

type pair struct{ client, server *net.TCPConn }

func (c *pair) close() {
	c.client.Close()
	if c.server != nil {
		c.server.Close()
	}
}

func (c *pair) reset() {
	_ = c.client.SetLinger(0)
	if c.server != nil {
		_ = c.server.SetLinger(0)
	}
	c.close()
}

// Start listens on a free loopback port and forwards to target (host:port).
func Start(target string, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "fault proxy")
	}
	p := &Proxy{target: target, ln: l, rng: rand.New(rand.NewPCG(seed, 2)), pairs: map[*pair]struct{}{}}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Addr returns the proxy's host:port.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Set replaces the faults.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults in force.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ResetAll resets every open connection and returns their number.
func (p *Proxy) ResetAll() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.reset()
	}
	return len(p.pairs)
}

// Open returns the number of open connections.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs)
}

// Swallowed returns the number of bytes that cuts have dropped.
func (p *Proxy) Swallowed() int64 { return p.swallowed.Load() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.ln.Close()
	for c := range p.pairs {
		c.close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go p.serve(c.(*net.TCPConn))
	}
}

// add registers a connection; it reports false when the connection must not live.
func (p *Proxy) add(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.faults.Refuse {
		return false
	}
	p.pairs[c] = struct{}{}
	return true
}

func (p *Proxy) serve(client *net.TCPConn) {
	defer p.wg.Done()
	if p.Faults().Refuse {
		(&pair{client: client}).reset()
		return
	}
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		(&pair{client: client}).reset()
		return
	}
	c := &pair{client: client, server: s.(*net.TCPConn)}
	if !p.add(c) {
		c.reset()
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		p.pump(c, c.client, c.server, func(f Faults) Flow { return f.Up })
	}()
	go func() {
		defer both.Done()
		p.pump(c, c.server, c.client, func(f Faults) Flow { return f.Down })
	}()
	both.Wait()
	c.close()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// piece is a part of one direction's bytes on its way.
type piece struct {
	data []byte
	flow Flow
	due  time.Time
	end  bool // the peer closed its direction
}

// pump moves one direction's bytes until its end and passes the end on. Reading goes
// on while earlier pieces wait out their delay, so that a delay does not limit how
// many pieces are on the way, as on a long line.
func (p *Proxy) pump(c *pair, from, to *net.TCPConn, pick func(Faults) Flow) {
	line := make(chan piece, maxPieces)
	done := make(chan struct{})
	go func() {
		defer close(done)
		deliver(c, to, line)
	}()
	defer func() { <-done }()
	defer close(line)
	var free, last time.Time // when the line is free again; when the last piece is due
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		flow := pick(p.Faults())
		if flow.Cut {
			p.swallowed.Add(int64(n))
		} else if n > 0 {
			var due time.Time
			due, free = p.due(flow, n, free)
			if due.Before(last) {
				due = last
			}
			last = due
			line <- piece{data: slices.Clone(buf[:n]), flow: flow, due: due}
		}
		if err == io.EOF {
			if !flow.Cut {
				line <- piece{due: last, end: true}
			}
			return
		}
		if err != nil {
			c.close()
			return
		}
	}
}

// due returns when a piece that was read now arrives, and when the line is free for
// the next one.
func (p *Proxy) due(f Flow, n int, free time.Time) (due, next time.Time) {
	next = time.Now()
	if f.Bandwidth > 0 {
		if free.After(next) {
			next = free
		}
		next = next.Add(time.Duration(int64(n) * int64(time.Second) / int64(f.Bandwidth)))
	}
	due = next.Add(f.Delay)
	if f.Jitter > 0 {
		p.mu.Lock()
		due = due.Add(time.Duration(p.rng.Int64N(int64(f.Jitter))))
		p.mu.Unlock()
	}
	return due, next
}

// deliver writes the pieces when they are due. After a failure it only empties the
// line, so that the reader does not block.
func deliver(c *pair, to *net.TCPConn, line <-chan piece) {
	var moved int64
	failed := false
	for x := range line {
		if failed {
			continue
		}
		if d := time.Until(x.due); d > 0 {
			time.Sleep(d)
		}
		if x.end {
			_ = to.CloseWrite()
			continue
		}
		data, end := x.flow.limit(x.data, moved)
		if _, err := to.Write(data); err != nil {
			c.close()
			failed = true
			continue
		}
		moved += int64(len(data))
		if end != nil {
			end(c)
			failed = true
		}
	}
}

// limit cuts a piece at the byte where the connection is to end.
func (f Flow) limit(piece []byte, moved int64) ([]byte, func(*pair)) {
	if f.ResetAfter > 0 && moved+int64(len(piece)) >= f.ResetAfter {
		return piece[:max(0, f.ResetAfter-moved)], (*pair).reset
	}
	if f.CloseAfter > 0 && moved+int64(len(piece)) >= f.CloseAfter {
		return piece[:max(0, f.CloseAfter-moved)], (*pair).close
	}
	return piece, nil
}

// Control returns the HTTP control endpoint: GET and PUT /faults (Faults; durations
// in nanoseconds), POST /reset.
func (p *Proxy) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.Faults())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Set(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /reset", func(w http.ResponseWriter, _ *http.Request) {
		p.ResetAll()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
