package mesh

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/netutil"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Bounds of the transport.
const (
	maxDatagram  = 60 << 10
	copyTimeout  = time.Second // of fetching a copy, and of serving one
	maxCopyConns = 16          // copies served at once
)

// Handler takes the messages that arrive.
type Handler interface {
	// Datagram takes a message from a VM at an address.
	Datagram(from netip.AddrPort, m fleet.Message)
	// GiveCopy returns this VM's copy, or nil without one.
	GiveCopy() *follower.Copy
}

// Transport carries messages between VMs. It is safe for concurrent use.
type Transport struct {
	udp     *net.UDPConn
	tcp     net.Listener
	handler Handler
	log     logr.Logger
	slots   chan struct{}
}

// Listen binds the address for datagrams and for copies.
func Listen(address string, h Handler, log logr.Logger) (*Transport, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	udp, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	tcp, err := net.Listen("tcp4", udp.LocalAddr().String())
	if err != nil {
		udp.Close()
		return nil, errors.Trace(err)
	}
	return &Transport{udp: udp, tcp: tcp, handler: h, log: log, slots: make(chan struct{}, maxCopyConns)}, nil
}

// Addr returns the bound address.
func (t *Transport) Addr() string { return t.udp.LocalAddr().String() }

// Serve takes messages until Close.
func (t *Transport) Serve() {
	go t.serveCopies()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error of an earlier datagram
		}
		m, err := wire.Decode(buf[:n])
		if err != nil {
			t.log.V(1).Info("datagram refused", "from", from.String(), "error", err.Error())
			continue
		}
		t.handler.Datagram(from, m)
	}
}

// Send sends one message to addresses. A datagram that cannot be sent is lost, like
// one that the network drops.
func (t *Transport) Send(m fleet.Message, addresses ...string) {
	if len(addresses) == 0 {
		return
	}
	frame, err := wire.Encode(m)
	if err != nil || len(frame) > maxDatagram {
		t.log.Info("message is too large for a datagram", "kind", m.Kind(), "bytes", len(frame))
		return
	}
	for _, a := range addresses {
		to, err := netip.ParseAddrPort(a)
		if err != nil {
			t.log.V(1).Info("bad address of a VM", "address", a)
			continue
		}
		if _, err := t.udp.WriteToUDPAddrPort(frame, to); err != nil {
			t.log.V(1).Info("datagram not sent", "to", a, "error", err.Error())
		}
	}
}

func (t *Transport) serveCopies() {
	for {
		c, err := t.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors
			continue
		}
		select {
		case t.slots <- struct{}{}:
			go t.serveCopy(c)
		default:
			c.Close()
		}
	}
}

func (t *Transport) serveCopy(c net.Conn) {
	defer func() { <-t.slots }()
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(copyTimeout))
	m, err := wire.Read(c)
	if err != nil {
		return
	}
	if _, ok := m.(*Ask); !ok {
		return
	}
	frame, err := wire.Encode(&Copy{t.handler.GiveCopy()})
	if err != nil {
		t.log.Error(err, "encode a copy of the state")
		return
	}
	if _, err := c.Write(frame); err != nil {
		t.log.V(1).Info("copy of the state not sent", "to", c.RemoteAddr().String(), "error", err.Error())
	}
}

// FetchCopy asks the VM at an address for its copy.
func (t *Transport) FetchCopy(ctx context.Context, self fleet.VMID, address string) (*follower.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	c, err := netutil.Dialer(copyTimeout, copyTimeout).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer c.Close()
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	frame, err := wire.Encode(&Ask{self})
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
	answer, ok := m.(*Copy)
	if !ok || answer.Copy == nil {
		return nil, errors.NotFoundf("copy at %s", address)
	}
	return answer.Copy, nil
}

// Close ends the transport.
func (t *Transport) Close() error {
	err := t.udp.Close()
	if tcpErr := t.tcp.Close(); err == nil {
		err = tcpErr
	}
	return err
}
