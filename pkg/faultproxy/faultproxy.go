// Package faultproxy is a TCP proxy on loopback that injects faults for tests: dropped
// bytes, delays, limited bandwidth, resets, early closes and refused connections.
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
	copyBufferSize    = 16 << 10 // bytes; maximum size of a chunk
	maxChunksInFlight = 64       // per direction
)

// FlowFaults are the faults of one direction. The zero value forwards all bytes unchanged.
type FlowFaults struct {
	Drop       bool          `json:"cut,omitempty"`         // drop bytes silently; both ends stay connected
	Delay      time.Duration `json:"delay,omitempty"`       // of each chunk; the order is kept
	Jitter     time.Duration `json:"jitter,omitempty"`      // upper bound of a uniform random addition to Delay
	Bandwidth  int           `json:"bandwidth,omitempty"`   // bytes per second; 0 for no limit
	CloseAfter int64         `json:"close_after,omitempty"` // bytes after which a connection is closed; 0 for never
	ResetAfter int64         `json:"reset_after,omitempty"` // bytes after which a connection is reset; 0 for never
}

// Faults are the faults that a proxy injects. A change applies to open connections at
// once. CloseAfter and ResetAfter count from the start of a connection.
type Faults struct {
	Up     FlowFaults `json:"up"`               // from the client to the target
	Down   FlowFaults `json:"down"`             // from the target to the client
	Refuse bool       `json:"refuse,omitempty"` // reset new connections before any byte
}

// Proxy is a running fault-injecting proxy.
type Proxy struct {
	target string
	ln     net.Listener

	mu          sync.Mutex
	rng         *rand.Rand
	faults      Faults
	connections map[*connection]struct{}
	closed      bool
	wg          sync.WaitGroup

	dropped atomic.Int64
}

type connection struct{ client, server *net.TCPConn }

func (c *connection) close() {
	c.client.Close()
	if c.server != nil {
		c.server.Close()
	}
}

func (c *connection) reset() {
	_ = c.client.SetLinger(0)
	if c.server != nil {
		_ = c.server.SetLinger(0)
	}
	c.close()
}

// Start listens on a free loopback port and forwards to target (host:port). The seed
// determines the random jitter.
func Start(target string, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "fault proxy")
	}
	p := &Proxy{target: target, ln: l, rng: rand.New(rand.NewPCG(seed, 2)), connections: map[*connection]struct{}{}}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Addr returns the proxy's host:port.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetFaults replaces the faults.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults in effect.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ResetAll resets every open connection and returns their number.
func (p *Proxy) ResetAll() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.reset()
	}
	return len(p.connections)
}

// OpenConnections returns the number of open connections.
func (p *Proxy) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}

// DroppedBytes returns the number of bytes that were dropped because of FlowFaults.Drop.
func (p *Proxy) DroppedBytes() int64 { return p.dropped.Load() }

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.ln.Close()
	for c := range p.connections {
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

// register adds an open connection. It returns false when the proxy is closed or
// refuses connections.
func (p *Proxy) register(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.faults.Refuse {
		return false
	}
	p.connections[c] = struct{}{}
	return true
}

func (p *Proxy) serve(client *net.TCPConn) {
	defer p.wg.Done()
	if p.Faults().Refuse {
		(&connection{client: client}).reset()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		(&connection{client: client}).reset()
		return
	}
	c := &connection{client: client, server: server.(*net.TCPConn)}
	if !p.register(c) {
		c.reset()
		return
	}
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		p.forward(c, c.client, c.server, func(f Faults) FlowFaults { return f.Up })
	}()
	go func() {
		defer directions.Done()
		p.forward(c, c.server, c.client, func(f Faults) FlowFaults { return f.Down })
	}()
	directions.Wait()
	c.close()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// chunk is the result of one read, queued for delivery.
type chunk struct {
	data    []byte
	flow    FlowFaults
	arrival time.Time
	eof     bool // the peer closed its direction
}

// forward copies one direction's bytes until the end of the stream and closes that
// direction at the other end. Reading continues while earlier chunks are delayed, so
// that a delay does not limit the throughput.
func (p *Proxy) forward(c *connection, from, to *net.TCPConn, selectFlow func(Faults) FlowFaults) {
	queue := make(chan chunk, maxChunksInFlight)
	done := make(chan struct{})
	go func() {
		defer close(done)
		deliver(c, to, queue)
	}()
	defer func() { <-done }()
	defer close(queue)
	var linkFree, lastArrival time.Time // when the link has sent the last chunk; when that chunk arrives
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		flow := selectFlow(p.Faults())
		if flow.Drop {
			p.dropped.Add(int64(n))
		} else if n > 0 {
			var arrival time.Time
			arrival, linkFree = p.schedule(flow, n, linkFree)
			if arrival.Before(lastArrival) {
				arrival = lastArrival
			}
			lastArrival = arrival
			queue <- chunk{data: slices.Clone(buf[:n]), flow: flow, arrival: arrival}
		}
		if err == io.EOF {
			if !flow.Drop {
				queue <- chunk{arrival: lastArrival, eof: true}
			}
			return
		}
		if err != nil {
			c.close()
			return
		}
	}
}

// schedule returns when a chunk of n bytes that has just been read arrives, and when the
// link is free for the next chunk.
func (p *Proxy) schedule(f FlowFaults, n int, linkFree time.Time) (arrival, nextFree time.Time) {
	nextFree = time.Now()
	if f.Bandwidth > 0 {
		if linkFree.After(nextFree) {
			nextFree = linkFree
		}
		nextFree = nextFree.Add(time.Duration(int64(n) * int64(time.Second) / int64(f.Bandwidth)))
	}
	arrival = nextFree.Add(f.Delay)
	if f.Jitter > 0 {
		p.mu.Lock()
		arrival = arrival.Add(time.Duration(p.rng.Int64N(int64(f.Jitter))))
		p.mu.Unlock()
	}
	return arrival, nextFree
}

// deliver writes each chunk at its arrival time. After a failure it discards the rest
// of the queue, so that the reader does not block.
func deliver(c *connection, to *net.TCPConn, queue <-chan chunk) {
	var written int64
	failed := false
	for next := range queue {
		if failed {
			continue
		}
		if d := time.Until(next.arrival); d > 0 {
			time.Sleep(d)
		}
		if next.eof {
			_ = to.CloseWrite()
			continue
		}
		allowed, terminate := next.flow.truncate(next.data, written)
		if _, err := to.Write(allowed); err != nil {
			c.close()
			failed = true
			continue
		}
		written += int64(len(allowed))
		if terminate != nil {
			terminate(c)
			failed = true
		}
	}
}

// truncate cuts data at the limit of ResetAfter or CloseAfter; written is the number of
// bytes written before. It also returns the function that ends the connection, or nil
// when the limit has not been reached.
func (f FlowFaults) truncate(data []byte, written int64) ([]byte, func(*connection)) {
	if f.ResetAfter > 0 && written+int64(len(data)) >= f.ResetAfter {
		return data[:max(0, f.ResetAfter-written)], (*connection).reset
	}
	if f.CloseAfter > 0 && written+int64(len(data)) >= f.CloseAfter {
		return data[:max(0, f.CloseAfter-written)], (*connection).close
	}
	return data, nil
}

// Control returns the handler of the control endpoint: GET and PUT /faults (Faults,
// durations in nanoseconds) and POST /reset.
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
		p.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /reset", func(w http.ResponseWriter, _ *http.Request) {
		p.ResetAll()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
