package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request of a client and what the client got.
type attempt struct {
	id, method, path, vm string
	sent                 time.Time
	status               int // 0: no whole answer
	signature, body      string
	err                  error
	ended                time.Time
}

// clients sends requests and collects the attempts.
type clients struct {
	rec  *record
	host string
	next atomic.Int64

	mu  sync.Mutex
	all []attempt
}

const deadlineMS = 5000

// send sends one request on a new connection to the VM and waits for the answer.
func (c *clients) send(v *vm, method, path, extraHeader, body string) attempt {
	a := c.newAttempt(v, method, path)
	c.finish(&a, c.exchange(v, &a, extraHeader, body))
	return a
}

func (c *clients) newAttempt(v *vm, method, path string) attempt {
	a := attempt{id: fmt.Sprintf("%016x", 0x5eed000000000000+c.next.Add(1)), method: method, path: path, vm: v.id, sent: time.Now()}
	c.rec.add("client sends %s %s %s to %s", a.id, method, path, v.id)
	return a
}

func (c *clients) finish(a *attempt, err error) {
	a.err, a.ended = err, time.Now()
	if a.err != nil {
		c.rec.add("client gets no answer to %s: %v", a.id, a.err)
	} else {
		c.rec.add("client gets %d for %s, signature %q", a.status, a.id, a.signature)
	}
	c.mu.Lock()
	c.all = append(c.all, *a)
	c.mu.Unlock()
}

func (c *clients) exchange(v *vm, a *attempt, extraHeader, body string) error {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	return c.exchangeOn(conn, bufio.NewReader(conn), a, deadlineMS, extraHeader, body)
}

// exchangeOn sends the request on an open connection and reads the answer.
func (c *clients) exchangeOn(conn net.Conn, br *bufio.Reader, a *attempt, deadlineMS int, extraHeader, body string) error {
	_ = conn.SetDeadline(time.Now().Add(time.Duration(deadlineMS) * time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", a.method, a.path, c.host, a.id, deadlineMS)
	b.WriteString(extraHeader)
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: a.method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	a.status, a.signature, a.body = resp.StatusCode, resp.Header.Get("Server-Signature"), string(data)
	return nil
}

func (c *clients) attempts() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.all...)
}
