// Package link transports messages between VMs over TCP. Each VM dials the peers that it
// sends to and uses these connections only for sending, so that a failure in one direction
// does not affect the other. Delivery is at most once: messages may be lost, but those of
// one connection arrive in order, and none of an older incarnation of a VM arrives after one
// of a newer incarnation.
package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Timeouts and limits of links.
const (
	heartbeatInterval = time.Second
	// readTimeout spans several heartbeats, so that a busy sender is not disconnected.
	readTimeout  = 4 * time.Second
	writeTimeout = 2 * time.Second
	dialTimeout  = 2 * time.Second
	helloTimeout = 3 * time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection. Without it a half-open connection accepts heartbeats until the
	// socket buffer is full, which takes hours.
	unackedTimeout = 4 * time.Second

	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	// Limits of one peer's queue. A peer that was unreachable for longer than maxQueueAge
	// receives none of the older messages when it is reachable again.
	maxQueueMessages = 4096
	maxQueueBytes    = 16 << 20
	maxQueueAge      = 5 * time.Second
	// maxWriteBytes bounds the bytes that one write takes from the queue, unless its first
	// message is larger.
	maxWriteBytes = 256 << 10

	// maxPendingConns bounds connections whose hello has not been accepted yet or was refused.
	maxPendingConns = 256
	// maxHelloBytes bounds a hello or a refusal. With the general limit on frames, the
	// pending connections could make this VM allocate 1 GiB before any hello is accepted.
	maxHelloBytes = 4 << 10
	// maxDiscardBytes bounds what is read from a refused peer before the connection is closed.
	maxDiscardBytes = 1 << 20
	// maxKnownPeers bounds the table of VMs that have sent a hello.
	maxKnownPeers = 8192
	// peerRetention is how long a VM that is no longer listed stays in that table, so that
	// its older incarnations are still refused.
	peerRetention = time.Hour
	// maxHelloFieldBytes bounds each string field of a hello.
	maxHelloFieldBytes = 255
)

// Config configures the links of this VM. Self, ListenAddr and Handler are required.
type Config struct {
	Self          fleet.Member
	Fleet         string
	Region        fleet.Region
	Zone          fleet.Zone
	ListenAddr    string // address to listen on
	AdvertiseAddr string // address that peers dial; empty means the listener's
	OperatorAddr  string // address of this VM's operator API, sent to peers in the hello

	TLS *tlsconf.Source // nil: no TLS

	// Handler is called for each message, in order for one peer and concurrently for several
	// peers. It must return quickly, since it blocks the link from that peer.
	Handler func(from fleet.Member, m fleet.Message)
	// OnHello is called for each accepted connection, before its messages.
	OnHello func(fleet.Member)
	// OnRefused is called when a peer refuses the hello of this VM.
	OnRefused func(peer fleet.VMID, refused Refusal)
	// DialListed opens a link to every listed VM, so that each receives a hello from this VM.
	// Otherwise a link is opened for the first message to its peer.
	DialListed bool
	// RegionOf returns a peer's region for the metrics, or "" if it is unknown. If it is nil
	// or returns "", the region is taken from the peer's hello.
	RegionOf func(fleet.VMID) fleet.Region

	Logger  logr.Logger
	Metrics *metrics.Set // nil: a set that is not exported
}

// Peer is the state of a VM that has sent a hello, with the fields of its newest one.
type Peer struct {
	Member       fleet.Member
	Region       fleet.Region
	Zone         fleet.Zone
	LinkAddr     string
	OperatorAddr string
	LastHeard    time.Time // time of the last frame
	Connected    bool      // whether the connection from the VM is open
}

// Links manages the connections between this VM and its peers. All methods are safe for
// concurrent use.
type Links struct {
	cfg      Config
	listener net.Listener
	log      logr.Logger
	counters *linkMetrics
	hello    Hello

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	lastConnID atomic.Uint64

	mu            sync.Mutex
	closed        bool
	listedAddrs   map[fleet.VMID]string
	senders       map[fleet.VMID]*sender
	inboundPeers  map[fleet.VMID]*inboundPeer
	acceptedConns map[net.Conn]struct{}
	pendingConns  int
}

// New binds the listener and starts accepting connections.
func New(cfg Config) (*Links, error) {
	if cfg.Handler == nil || cfg.Self.IsZero() {
		return nil, result.Errorf(result.Internal, "link: Handler and Self are required")
	}
	listener, err := net.Listen("tcp", cfg.ListenAddr)
	if err != nil {
		return nil, errors.Annotate(err, "link listener")
	}
	if cfg.TLS == nil && !isLoopback(listener.Addr().String()) {
		listener.Close()
		return nil, result.Errorf(result.SettingsInvalid, "link listener %s is not a loopback address and has no certificates", cfg.ListenAddr)
	}
	if cfg.AdvertiseAddr == "" {
		cfg.AdvertiseAddr = listener.Addr().String()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Logger.GetSink() == nil {
		cfg.Logger = logr.Discard()
	}
	l := &Links{
		cfg:      cfg,
		listener: listener,
		log:      cfg.Logger.WithName("link"),
		counters: newLinkMetrics(cfg.Metrics),
		hello: Hello{
			Version: wire.ProtocolVersion, Fleet: cfg.Fleet, From: cfg.Self,
			Region: cfg.Region, Zone: cfg.Zone, LinkAddr: cfg.AdvertiseAddr, OperatorAddr: cfg.OperatorAddr,
		},
		listedAddrs:   map[fleet.VMID]string{},
		senders:       map[fleet.VMID]*sender{},
		inboundPeers:  map[fleet.VMID]*inboundPeer{},
		acceptedConns: map[net.Conn]struct{}{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.wg.Add(1)
	go l.acceptLoop()
	return l, nil
}

// isLoopback reports whether an address of the form IP:port is a loopback address. Only these
// may be used without certificates.
func isLoopback(addr string) bool {
	parsed, err := netip.ParseAddrPort(addr)
	return err == nil && parsed.Addr().Unmap().IsLoopback()
}

// Addr returns the bound address.
func (l *Links) Addr() string { return l.listener.Addr().String() }

// SetPeers replaces the addresses of the listed VMs. A peer that is not listed but has sent
// a hello is dialed at the address in the hello. The sender to a VM that is neither listed
// nor connected to this VM is stopped.
func (l *Links) SetPeers(addrs map[fleet.VMID]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listedAddrs = make(map[fleet.VMID]string, len(addrs))
	for id, addr := range addrs {
		l.listedAddrs[id] = addr
	}
	for id, s := range l.senders {
		addr := l.peerAddr(id)
		if in := l.inboundPeers[id]; l.listedAddrs[id] == "" && (in == nil || in.conn == nil) {
			addr = ""
		}
		if addr == "" {
			s.stop()
			delete(l.senders, id)
		} else {
			s.setAddress(addr)
		}
	}
	for id, in := range l.inboundPeers {
		if l.listedAddrs[id] == "" && in.conn == nil && time.Since(time.Unix(0, in.lastHeard.Load())) > peerRetention {
			delete(l.inboundPeers, id)
		}
	}
	if !l.cfg.DialListed {
		return
	}
	for id := range l.listedAddrs {
		if id != l.cfg.Self.VM && l.senders[id] == nil && l.peerAddr(id) != "" && !l.closed {
			l.startSender(id)
		}
	}
}

// peerAddr returns the address at which to dial a VM, or "" if it is unknown. The caller
// holds mu.
func (l *Links) peerAddr(id fleet.VMID) string {
	if addr := l.listedAddrs[id]; addr != "" {
		return addr
	}
	if in := l.inboundPeers[id]; in != nil {
		return in.peer.LinkAddr
	}
	return ""
}

// Send queues a message without blocking. The message is encoded before Send returns, so the
// caller may modify it afterwards. Messages to unknown VMs or to this VM, and those that exceed
// the frame limit or the queue limits, are dropped and counted.
func (l *Links) Send(e fleet.Envelope) {
	if e.To == "" || e.To == l.cfg.Self.VM {
		l.counters.dropped("self").Inc()
		return
	}
	s := l.getSender(e.To)
	if s == nil {
		l.counters.dropped("no_address").Inc()
		return
	}
	frame, err := wire.Encode(e.Message)
	if err != nil {
		l.counters.dropped("encode").Inc()
		l.log.Error(err, "cannot encode message", "peer", e.To, "kind", e.Message.Kind())
		return
	}
	s.push(frame, time.Now())
}

// getSender returns the sender to a VM and starts it if necessary. It returns nil if the
// address is unknown or the links are closed.
func (l *Links) getSender(id fleet.VMID) *sender {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.senders[id]; s != nil {
		return s
	}
	if l.peerAddr(id) == "" || l.closed {
		return nil
	}
	return l.startSender(id)
}

// startSender starts the sender to a VM whose address is known. The caller holds mu.
func (l *Links) startSender(id fleet.VMID) *sender {
	s := newSender(l, id, l.peerAddr(id))
	l.senders[id] = s
	l.wg.Add(1)
	go s.reconnectLoop()
	return s
}

// Peers returns the VMs that have sent a hello to this process, including those that are no longer
// connected.
func (l *Links) Peers() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make([]Peer, 0, len(l.inboundPeers))
	for _, in := range l.inboundPeers {
		p := in.peer
		p.LastHeard = time.Unix(0, in.lastHeard.Load())
		p.Connected = in.conn != nil
		peers = append(peers, p)
	}
	return peers
}

// peerRegion returns a peer's region for the metrics, or "unknown".
func (l *Links) peerRegion(id fleet.VMID) fleet.Region {
	if l.cfg.RegionOf != nil {
		if r := l.cfg.RegionOf(id); r != "" {
			return r
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if in := l.inboundPeers[id]; in != nil {
		return in.peer.Region
	}
	return "unknown"
}

// Close closes all connections and waits until no handler is running. Queued messages are
// lost unless Flush is called first.
func (l *Links) Close() error {
	l.mu.Lock()
	l.closed = true
	for conn := range l.acceptedConns {
		conn.Close()
	}
	l.mu.Unlock()
	l.cancel()
	err := l.listener.Close()
	l.wg.Wait()
	return err
}

// Flush waits until the queues of all connected peers are written or ctx ends.
func (l *Links) Flush(ctx context.Context) error {
	l.mu.Lock()
	senders := make([]*sender, 0, len(l.senders))
	for _, s := range l.senders {
		senders = append(senders, s)
	}
	l.mu.Unlock()
	for _, s := range senders {
		if err := s.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}
