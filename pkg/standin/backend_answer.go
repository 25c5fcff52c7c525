package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// HeaderDigest is the response header with the digest of the request's method, path
// and body, so that a caller can tell that an answer is its own.
const HeaderDigest = "X-Standin-Digest"

// HeaderServer is the response header with the server's name.
const HeaderServer = "X-Standin-Server"

// wholeAnswer is an answer before faults are applied.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// answerTo builds the honest answer: the body starts with the request's digest and
// is filled up to the size asked for.
func (b *Backend) answerTo(r *http.Request, body []byte) wholeAnswer {
	status, err := strconv.Atoi(option(r, HeaderStatus, "status"))
	if err != nil || status < 200 || status > 599 {
		status = http.StatusOK
	}
	size, err := strconv.Atoi(option(r, HeaderSize, "size"))
	if err != nil || size < 0 || size > maxAnswerSize {
		size = 0
	}
	digest := Digest(r.Method, r.URL.RequestURI(), body)
	out := []byte(digest)
	for len(out) < size {
		out = append(out, out...)
	}
	if size > 0 {
		out = out[:size]
	}
	h := http.Header{"Content-Type": {"text/plain"}, HeaderDigest: {digest}, HeaderServer: {b.config.Name}}
	if b.config.Echo != "" {
		h.Set(b.config.Echo, r.Header.Get("X-Request-Id"))
	}
	return wholeAnswer{status, h, out}
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// respond writes the answer, with the fault of the mode.
func (b *Backend) respond(w http.ResponseWriter, r *http.Request, mode Mode, body []byte) {
	own := b.answerTo(r, body)
	kept := own
	b.mu.Lock()
	earlier := b.ledger.lastAnswer
	b.ledger.lastAnswer = &kept
	b.mu.Unlock()
	switch mode.Fault {
	case FaultNone:
		b.write(w, r, own)
		return
	case FaultError:
		own.status, own.body = http.StatusInternalServerError, []byte("failed\n")
		b.write(w, r, own)
		return
	case FaultCross:
		if earlier != nil {
			own = *earlier
		}
		b.write(w, r, own)
		return
	}
	b.raw(w, own, mode.Fault)
}

func (b *Backend) write(w http.ResponseWriter, r *http.Request, a wholeAnswer) {
	for k, v := range a.header {
		w.Header()[k] = v
	}
	if option(r, "X-Standin-Chunked", "chunked") == "" && (bodyAllowed(r.Method, a.status) || r.Method == http.MethodHead) {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if bodyAllowed(r.Method, a.status) {
		w.Header().Set("Trailer", "X-Standin-Trailer")
		defer w.Header().Set("X-Standin-Trailer", a.header.Get(HeaderDigest))
	}
	w.WriteHeader(a.status)
	if !bodyAllowed(r.Method, a.status) {
		return
	}
	half := len(a.body) / 2
	_, _ = w.Write(a.body[:half])
	if w.Header().Get("Trailer") != "" {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = w.Write(a.body[half:])
}

// raw writes a faulty answer on the connection itself.
func (b *Backend) raw(w http.ResponseWriter, a wholeAnswer, fault Fault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	_ = a.header.Write(&head)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(a.body))
	whole := append([]byte(head.String()+length), a.body...)
	half := a.body[:len(a.body)/2]
	send := func(p ...string) {
		for _, s := range p {
			_, _ = conn.Write([]byte(s))
		}
	}
	switch fault {
	case FaultTruncate:
		send(head.String(), length, string(half))
	case FaultTruncChunked:
		send(head.String(), "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(half), half))
	case FaultCloseHeaders:
		send(head.String(), length)
	case FaultTwice:
		send(string(whole) + string(whole))
		b.holdOpen(conn)
	case FaultLateTwice:
		send(string(whole))
		time.Sleep(HoldTwice)
		send(string(whole))
		b.holdOpen(conn)
	case FaultResetBody:
		send(head.String(), length, string(half))
		if tcp, ok := unwrap(conn).(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case FaultUnbounded:
		send(head.String(), "Connection: close\r\n\r\n", string(a.body))
	case FaultGarbage:
		send("SSH-2.0-standin\r\n\r\n")
	case FaultSwitch:
		send("HTTP/1.1 101 Switching Protocols\r\nUpgrade: chat\r\nConnection: Upgrade\r\n\r\n")
	}
}

// holdOpen keeps a connection open until the peer closes it, reading and dropping
// what comes, so that the peer sees the stray bytes and not an end of stream.
func (b *Backend) holdOpen(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	var buf [4 << 10]byte
	for {
		if _, err := conn.Read(buf[:]); err != nil {
			return
		}
	}
}

func unwrap(c net.Conn) net.Conn {
	if cc, ok := c.(*countedConn); ok {
		return cc.Conn
	}
	return c
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
