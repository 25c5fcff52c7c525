package proxy

import (
	"io"
	"log"
	"net"
	"net/http"
	"strings"

	"github.com/go-logr/logr"
)

// NewServer returns the http.Server for callers, configured with the limits of the proxy: HTTP/1.1
// only, a size limit and a timeout for request headers, and an idle timeout. The handler limits the time of
// bodies and responses with deadlines that it renews before each read and write.
func (p *Proxy) NewServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:                      p,
		Protocols:                    &protocols,
		ReadHeaderTimeout:            p.limits.HeaderTimeout,
		IdleTimeout:                  p.limits.IdleTimeout,
		MaxHeaderBytes:               p.limits.MaxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    p.callerConns.observe,
		ErrorLog:                     log.New(NewStandardLogWriter(p.log), "", 0),
	}
}

// Serve accepts callers' connections on l until the server is shut down. It wraps l with WrapListener.
func (p *Proxy) Serve(s *http.Server, l net.Listener) error { return s.Serve(p.WrapListener(l)) }

// NewStandardLogWriter returns a writer for the standard library's logger. http.Transport logs unsolicited
// bytes from a server, which may contain customer data; the writer removes them. Programs pass it to
// log.SetOutput.
func NewStandardLogWriter(l logr.Logger) io.Writer { return logWriter{l} }

type logWriter struct{ log logr.Logger }

// Write logs one line.
func (w logWriter) Write(line []byte) (int, error) {
	text, _, _ := strings.Cut(string(line), " starting with ")
	w.log.V(1).Info("net/http", "message", strings.TrimSpace(text))
	return len(line), nil
}
