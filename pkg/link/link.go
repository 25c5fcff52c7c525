// Package link carries messages between VMs over TCP. Each VM dials the peers it
// sends to and uses that connection for sending only, so that a failure of one
// direction does not stop the other. Delivery is at most once: messages may be lost,
// but those of one connection arrive in order and those of an older incarnation
// never after those of a newer one.
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

// Times and bounds of links.
const (
	heartbeatInterval = time.Second
	// readTimeout is several heartbeats, so that a busy sender is not dropped.
	readTimeout  = 4 * time.Second
	writeTimeout = 2 * time.Second
	dialTimeout  = 2 * time.Second
	helloTimeout = 3 * time.Second
	// ackTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection. Without it a half-open connection swallows heartbeats
	// until the socket buffer is full, which takes hours.
	ackTimeout = 4 * time.Second

	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	// Bounds of one peer's queue. A peer that is away for longer than maxQueueAge
	// gets none of the old messages when it returns.
	maxQueueMessages = 4096
	maxQueueBytes    = 16 << 20
	maxQueueAge      = 5 * time.Second
	// maxWriteBytes is what one write call takes from the queue at most.
	maxWriteBytes = 256 << 10

	// maxPending bounds connections whose hello is not accepted yet or was refused.
	maxPending = 256
	// maxHelloBytes bounds a hello and a refusal. With the bound of all frames,
	// connections without a hello could make this VM allocate 1 GiB.
	maxHelloBytes = 4 << 10
	// maxRefusedBytes is what is read of a refused peer before the connection closes.
	maxRefusedBytes = 1 << 20
	// maxPeers bounds the table of VMs that were heard.
	maxPeers = 8192
	// forgetAfter is how long a VM that is no longer listed stays in that table, so
	// that an older incarnation of it is still refused.
	forgetAfter = time.Hour
	// maxName bounds each text of a hello.
	maxName = 255
)

// Config describes this VM's end of its links. Listener, Handler and Self are
// required.
type Config struct {
	Self      fleet.Member
	Fleet     string
	Region    fleet.Region
	Zone      fleet.Zone
	Listener  string // address to bind
	Advertise string // address that peers dial; empty means the bound one
	Operators string // address of this VM's operators' API, told to peers

	TLS *tlsconf.Source // nil: no TLS

	// Handler gets each message. Calls for one peer are in order, calls for several
	// peers run at the same time. It must return soon: it blocks that peer's link.
	Handler func(from fleet.Member, m fleet.Message)
	// OnHello is called for each accepted connection, before its messages.
	OnHello func(fleet.Member)
	// OnRefused is called when a peer refuses this VM's hello.
	OnRefused func(peer fleet.VMID, refused Refused)
	// DialListed opens a link to every listed VM, so that each one hears this VM.
	// Without it links open with the first message.
	DialListed bool
	// RegionOf names a peer's region for the counters. Without it the region is
	// known once the peer has said hello.
	RegionOf func(fleet.VMID) fleet.Region

	Logger  logr.Logger
	Metrics *metrics.Set // nil: a private set
}

// Peer is what a VM said about itself in its newest hello.
type Peer struct {
	Member    fleet.Member
	Region    fleet.Region
	Zone      fleet.Zone
	Links     string
	Operators string
	LastHeard time.Time // of the last frame
	Connected bool      // the VM's connection to this one is open
}

// Links holds the connections of this VM. All methods are safe for concurrent use.
type Links struct {
	cfg      Config
	listener net.Listener
	log      logr.Logger
	counters *counters
	hello    Hello

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	connSeq atomic.Uint64

	mu       sync.Mutex
	closed   bool
	listed   map[fleet.VMID]string
	senders  map[fleet.VMID]*sender
	heard    map[fleet.VMID]*inbound
	accepted map[net.Conn]struct{}
	pending  int
}

// New binds the listener and starts to accept.
func New(cfg Config) (*Links, error) {
	if cfg.Handler == nil || cfg.Self.IsZero() {
		return nil, result.Errorf(result.Internal, "link: Handler and Self are required")
	}
	listener, err := net.Listen("tcp", cfg.Listener)
	if err != nil {
		return nil, errors.Annotate(err, "link listener")
	}
	if cfg.TLS == nil && !loopback(listener.Addr().String()) {
		listener.Close()
		return nil, result.Errorf(result.SettingsInvalid, "link listener %s is not a loopback address and has no certificates", cfg.Listener)
	}
	if cfg.Advertise == "" {
		cfg.Advertise = listener.Addr().String()
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
		counters: newCounters(cfg.Metrics),
		hello: Hello{
			Version: wire.ProtocolVersion, Fleet: cfg.Fleet, From: cfg.Self,
			Region: cfg.Region, Zone: cfg.Zone, Links: cfg.Advertise, Operators: cfg.Operators,
		},
		listed:   map[fleet.VMID]string{},
		senders:  map[fleet.VMID]*sender{},
		heard:    map[fleet.VMID]*inbound{},
		accepted: map[net.Conn]struct{}{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.wg.Add(1)
	go l.accept()
	return l, nil
}

// loopback reports whether an address, IP:port, can be used without certificates.
func loopback(addr string) bool {
	parsed, err := netip.ParseAddrPort(addr)
	return err == nil && parsed.Addr().Unmap().IsLoopback()
}

// Addr returns the bound address.
func (l *Links) Addr() string { return l.listener.Addr().String() }

// SetPeers replaces the addresses of the listed VMs. A peer that is not listed but
// was heard is dialed at the address in its hello. The sender of a VM that is
// neither listed nor connected here ends.
func (l *Links) SetPeers(addrs map[fleet.VMID]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = make(map[fleet.VMID]string, len(addrs))
	for id, addr := range addrs {
		l.listed[id] = addr
	}
	for id, s := range l.senders {
		addr := l.address(id)
		if in := l.heard[id]; l.listed[id] == "" && (in == nil || in.conn == nil) {
			addr = ""
		}
		if addr == "" {
			s.stop()
			delete(l.senders, id)
		} else {
			s.setAddress(addr)
		}
	}
	for id, in := range l.heard {
		if l.listed[id] == "" && in.conn == nil && time.Since(time.Unix(0, in.lastHeard.Load())) > forgetAfter {
			delete(l.heard, id)
		}
	}
	if !l.cfg.DialListed {
		return
	}
	for id := range l.listed {
		if id != l.cfg.Self.VM && l.senders[id] == nil && l.address(id) != "" && !l.closed {
			l.start(id)
		}
	}
}

// address returns where to dial a VM, or "". The caller holds mu.
func (l *Links) address(id fleet.VMID) string {
	if addr := l.listed[id]; addr != "" {
		return addr
	}
	if in := l.heard[id]; in != nil {
		return in.peer.Links
	}
	return ""
}

// Send queues a message and returns at once. The message is encoded before Send
// returns, so the caller may change it afterwards. A message to an unknown VM, to
// this VM, beyond the frame bound or beyond the queue bound is dropped and counted.
func (l *Links) Send(e fleet.Envelope) {
	if e.To == "" || e.To == l.cfg.Self.VM {
		l.counters.dropped("self").Inc()
		return
	}
	s := l.sender(e.To)
	if s == nil {
		l.counters.dropped("no_address").Inc()
		return
	}
	frame, err := wire.Encode(e.Message)
	if err != nil {
		l.counters.dropped("encode").Inc()
		l.log.Error(err, "message cannot be encoded", "peer", e.To, "kind", e.Message.Kind())
		return
	}
	s.push(frame, time.Now())
}

// sender returns the sender of a VM and starts it if needed.
func (l *Links) sender(id fleet.VMID) *sender {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.senders[id]; s != nil {
		return s
	}
	if l.address(id) == "" || l.closed {
		return nil
	}
	return l.start(id)
}

// start starts the sender of a VM whose address is known. The caller holds mu.
func (l *Links) start(id fleet.VMID) *sender {
	s := newSender(l, id, l.address(id))
	l.senders[id] = s
	l.wg.Add(1)
	go s.run()
	return s
}

// Peers returns the VMs that said hello to this process.
func (l *Links) Peers() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make([]Peer, 0, len(l.heard))
	for _, in := range l.heard {
		p := in.peer
		p.LastHeard = time.Unix(0, in.lastHeard.Load())
		p.Connected = in.conn != nil
		peers = append(peers, p)
	}
	return peers
}

// region names a peer's region for the counters.
func (l *Links) region(id fleet.VMID) fleet.Region {
	if l.cfg.RegionOf != nil {
		if r := l.cfg.RegionOf(id); r != "" {
			return r
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if in := l.heard[id]; in != nil {
		return in.peer.Region
	}
	return "unknown"
}

// Close closes all connections and waits until no handler runs. Queued messages
// are lost; Flush sends them first.
func (l *Links) Close() error {
	l.mu.Lock()
	l.closed = true
	for conn := range l.accepted {
		conn.Close()
	}
	l.mu.Unlock()
	l.cancel()
	err := l.listener.Close()
	l.wg.Wait()
	return err
}

// Flush waits until the queues of connected peers are written or ctx ends.
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
