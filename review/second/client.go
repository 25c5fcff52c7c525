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
	a := attempt{id: fmt.Sprintf("%016x", 0x5eed000000000000+c.next.Add(1)), method: method, path: path, vm: v.id, sent: time.Now()}
	c.rec.add("client sends %s %s %s to %s", a.id, method, path, v.id)
	a.err = c.exchange(v, &a, extraHeader, body)
	if a.err != nil {
		c.rec.add("client gets no answer to %s: %v", a.id, a.err)
	} else {
		c.rec.add("client gets %d for %s, signature %q", a.status, a.id, a.signature)
	}
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	return a
}

func (c *clients) exchange(v *vm, a *attempt, extraHeader, body string) error {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadlineMS * time.Millisecond))
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
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
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
