package node

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// Limits of one health probe.
const (
	probeTimeout = time.Second
	// maxProbeHead is the size of a response's head in bytes. Health endpoints send a few header lines; net/http
	// would read 10 MB.
	maxProbeHead = 16 << 10
)

// newProbeClient returns a client that opens a new connection for each probe. On a reused connection a probe could
// succeed although the server no longer accepts connections.
func newProbeClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxProbeHead},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, // not another server's health
	}
}

// runProbe requests a server's health endpoint and reports whether the status is 2xx.
func (n *Node) runProbe(ctx context.Context, p pool.Probe) bool {
	addr := p.Server.Addr
	if n.cfg.MapServerAddr != nil {
		addr = n.cfg.MapServerAddr(p.Server)
	}
	return probe(ctx, n.probeClient, "http://"+addr+p.Path)
}

func probe(ctx context.Context, client *http.Client, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
}
