package mesh

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/netutil"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Limits of the transport.
const (
	snapshotTimeout  = time.Second            // for fetching a snapshot, and for serving one
	maxBindRetries   = 20                     // with a port that the system chooses
	maxSnapshotConns = 64                     // snapshots served concurrently
	snapshotCacheTTL = 100 * time.Millisecond // in which requests get the same encoded snapshot
)

// Handler handles received messages.
type Handler interface {
	// HandleDatagram handles a message received from an address.
	HandleDatagram(from netip.AddrPort, m fleet.Message)
	// Snapshot returns a snapshot of this VM's state, or nil if the state is not complete.
	Snapshot() *follower.Snapshot
}

// Transport sends and receives messages between VMs. It is safe for concurrent use.
type Transport struct {
	udp           *net.UDPConn
	tcp           net.Listener
	handler       Handler
	log           logr.Logger
	snapshotSlots chan struct{}

	cacheMu       sync.Mutex
	cached        []byte // encoded SnapshotReply
	cachedAt      time.Time
	cachedVersion uint64        // value of stateVersion at cachedAt
	stateVersion  atomic.Uint64 // number of calls of ForgetSnapshot
}

// Listen binds the address for datagrams (UDP) and snapshots (TCP).
func Listen(address string, h Handler, log logr.Logger) (*Transport, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	udp, tcp, err := bindBoth(addr)
	for try := 0; err != nil && addr.Port == 0 && try < maxBindRetries; try++ {
		udp, tcp, err = bindBoth(addr) // the port that the system chose for UDP can be in use for TCP
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Transport{udp: udp, tcp: tcp, handler: h, log: log, snapshotSlots: make(chan struct{}, maxSnapshotConns)}, nil
}

// bindBoth binds UDP and TCP to the same address and port.
func bindBoth(addr *net.UDPAddr) (*net.UDPConn, net.Listener, error) {
	udp, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, nil, err
	}
	tcp, err := net.Listen("tcp4", udp.LocalAddr().String())
	if err != nil {
		udp.Close()
		return nil, nil, err
	}
	return udp, tcp, nil
}

// Addr returns the bound address.
func (t *Transport) Addr() string { return t.udp.LocalAddr().String() }

// Serve handles messages until Close.
func (t *Transport) Serve() {
	go t.serveSnapshots()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // ICMP error caused by an earlier datagram
		}
		m, err := DecodeDatagram(buf[:n])
		if err != nil {
			t.log.V(1).Info("datagram cannot be decoded", "from", from.String(), "error", err.Error())
			continue
		}
		t.handler.HandleDatagram(from, m)
	}
}

// Send sends a message to the addresses. Delivery is best effort: a datagram that cannot be
// sent is lost like one that the network drops.
func (t *Transport) Send(m fleet.Message, addresses ...string) {
	if len(addresses) == 0 {
		return
	}
	frame, err := encodeDatagram(m)
	if err != nil {
		t.log.Info("message cannot be sent", "kind", m.Kind(), "error", err.Error())
		return
	}
	for _, a := range addresses {
		to, err := netip.ParseAddrPort(a)
		if err != nil {
			t.log.V(1).Info("invalid VM address", "address", a)
			continue
		}
		if _, err := t.udp.WriteToUDPAddrPort(frame, to); err != nil {
			t.log.V(1).Info("datagram not sent", "to", a, "error", err.Error())
		}
	}
}

func (t *Transport) serveSnapshots() {
	for {
		c, err := t.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of file descriptors
			continue
		}
		select {
		case t.snapshotSlots <- struct{}{}:
			go t.serveSnapshot(c)
		default:
			c.Close()
		}
	}
}

func (t *Transport) serveSnapshot(c net.Conn) {
	defer func() { <-t.snapshotSlots }()
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(snapshotTimeout))
	m, err := wire.Read(c)
	if err != nil {
		return
	}
	if _, ok := m.(*SnapshotRequest); !ok {
		return
	}
	frame, err := t.encodedSnapshot()
	if err != nil {
		t.log.Error(err, "cannot encode snapshot")
		return
	}
	if _, err := c.Write(frame); err != nil {
		t.log.V(1).Info("snapshot not sent", "to", c.RemoteAddr().String(), "error", err.Error())
	}
}

// ForgetSnapshot makes requests from now on get the current state, not one from up to snapshotCacheTTL ago.
func (t *Transport) ForgetSnapshot() { t.stateVersion.Add(1) }

// encodedSnapshot returns the reply with the current snapshot. Many VMs request one at the same time when a
// fleet starts, and get the same.
func (t *Transport) encodedSnapshot() ([]byte, error) {
	t.cacheMu.Lock()
	defer t.cacheMu.Unlock()
	version := t.stateVersion.Load()
	if t.cached != nil && time.Since(t.cachedAt) < snapshotCacheTTL && t.cachedVersion == version {
		return t.cached, nil
	}
	var reply SnapshotReply
	s := t.handler.Snapshot()
	if s != nil {
		s.State = s.State.Older(snapshotCacheTTL) // when it is sent from the cache
		compressed, err := compressSnapshot(s)
		if err != nil {
			return nil, err
		}
		reply.Compressed = compressed
	}
	frame, err := wire.Encode(&reply)
	if err == nil && s != nil {
		t.cached, t.cachedAt, t.cachedVersion = frame, time.Now(), version
	}
	return frame, errors.Trace(err)
}

// FetchSnapshot requests a snapshot from the VM at an address.
func (t *Transport) FetchSnapshot(ctx context.Context, self fleet.VMID, address string) (*follower.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	c, err := netutil.NewDialer(snapshotTimeout, false).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer c.Close()
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	frame, err := wire.Encode(&SnapshotRequest{self})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := c.Write(frame); err != nil {
		return nil, errors.Trace(err)
	}
	m, err := wire.Read(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	reply, ok := m.(*SnapshotReply)
	if !ok || reply.Compressed == nil {
		return nil, errors.NotFoundf("snapshot at %s", address)
	}
	return decompressSnapshot(reply.Compressed)
}

// Close closes the sockets, which ends Serve.
func (t *Transport) Close() error {
	err := t.udp.Close()
	if tcpErr := t.tcp.Close(); err == nil {
		err = tcpErr
	}
	return err
}
