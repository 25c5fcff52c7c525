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

// HeaderDigest is the response header with the Digest of the request, by which a caller
// can verify that the response belongs to its request.
const HeaderDigest = "X-Standin-Digest"

// HeaderServer is the response header with the server's name.
const HeaderServer = "X-Standin-Server"

// response is a complete response, before a fault is applied.
type response struct {
	status int
	header http.Header
	body   []byte
}

// buildResponse returns the correct response: the body is the request's digest,
// repeated or cut to the requested size.
func (b *Backend) buildResponse(r *http.Request, body []byte) response {
	status, err := strconv.Atoi(headerOrQuery(r, HeaderStatus, "status"))
	if err != nil || status < 200 || status > 599 {
		status = http.StatusOK
	}
	size, err := strconv.Atoi(headerOrQuery(r, HeaderSize, "size"))
	if err != nil || size < 0 || size > maxResponseBody {
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
	if b.config.EchoHeader != "" {
		h.Set(b.config.EchoHeader, r.Header.Get("X-Request-Id"))
	}
	return response{status, h, out}
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// respond writes the response with the mode's fault.
func (b *Backend) respond(w http.ResponseWriter, r *http.Request, mode Mode, body []byte) {
	resp := b.buildResponse(r, body)
	saved := resp
	b.mu.Lock()
	previous := b.ledger.lastResponse
	b.ledger.lastResponse = &saved
	b.mu.Unlock()
	switch mode.Fault {
	case FaultNone:
		b.writeResponse(w, r, resp)
		return
	case FaultError:
		resp.status, resp.body = http.StatusInternalServerError, []byte("failed\n")
		b.writeResponse(w, r, resp)
		return
	case FaultCross:
		if previous != nil {
			resp = *previous
		}
		b.writeResponse(w, r, resp)
		return
	}
	b.writeFaulty(w, resp, mode.Fault)
}

// writeResponse writes a complete response. When the request selects a chunked one, by
// any value of X-Standin-Chunked or the query parameter chunked, it flushes the body in
// the middle and adds a trailer with the digest.
func (b *Backend) writeResponse(w http.ResponseWriter, r *http.Request, resp response) {
	for k, v := range resp.header {
		w.Header()[k] = v
	}
	if headerOrQuery(r, "X-Standin-Chunked", "chunked") == "" && (bodyAllowed(r.Method, resp.status) || r.Method == http.MethodHead) {
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	} else if bodyAllowed(r.Method, resp.status) {
		w.Header().Set("Trailer", "X-Standin-Trailer")
		defer w.Header().Set("X-Standin-Trailer", resp.header.Get(HeaderDigest))
	}
	w.WriteHeader(resp.status)
	if !bodyAllowed(r.Method, resp.status) {
		return
	}
	half := len(resp.body) / 2
	_, _ = w.Write(resp.body[:half])
	if w.Header().Get("Trailer") != "" {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = w.Write(resp.body[half:])
}

// writeFaulty takes over the connection and writes a faulty response to it.
func (b *Backend) writeFaulty(w http.ResponseWriter, resp response, fault Fault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", resp.status, http.StatusText(resp.status))
	_ = resp.header.Write(&head)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(resp.body))
	whole := append([]byte(head.String()+length), resp.body...)
	half := resp.body[:len(resp.body)/2]
	send := func(parts ...string) {
		for _, s := range parts {
			_, _ = conn.Write([]byte(s))
		}
	}
	switch fault {
	case FaultTruncate:
		send(head.String(), length, string(half))
	case FaultTruncateChunked:
		send(head.String(), "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(half), half))
	case FaultCloseHeaders:
		send(head.String(), length)
	case FaultDuplicate:
		send(string(whole) + string(whole))
		b.discardUntilClosed(conn)
	case FaultLateDuplicate:
		send(string(whole))
		time.Sleep(LateDuplicateDelay)
		send(string(whole))
		b.discardUntilClosed(conn)
	case FaultResetBody:
		send(head.String(), length, string(half))
		if tcp, ok := unwrapConn(conn).(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case FaultUnbounded:
		send(head.String(), "Connection: close\r\n\r\n", string(resp.body))
	case FaultGarbage:
		send("SSH-2.0-standin\r\n\r\n")
	case FaultSwitchProtocols:
		send("HTTP/1.1 101 Switching Protocols\r\nUpgrade: chat\r\nConnection: Upgrade\r\n\r\n")
	}
}

// discardUntilClosed discards input until the peer closes the connection, for 1 s at
// most. If the server closed it first, the peer could see the end of the stream and
// miss the surplus bytes.
func (b *Backend) discardUntilClosed(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	var buf [4 << 10]byte
	for {
		if _, err := conn.Read(buf[:]); err != nil {
			return
		}
	}
}

func unwrapConn(c net.Conn) net.Conn {
	if counted, ok := c.(*countedConn); ok {
		return counted.Conn
	}
	return c
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
