package link

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// patience is generous: it only bounds a run that has failed.
const patience = time.Minute

type note struct {
	N    int    `msgpack:"n"`
	Fill []byte `msgpack:"f,omitempty"`
}

func (*note) Kind() fleet.Kind { return 65001 }

func init() { wire.Register(func() fleet.Message { return &note{} }) }

// node is one VM's links and what they told it.
type node struct {
	*Links
	set  *metrics.Set
	hold chan struct{} // while not nil, the handler waits until it is closed

	mu      sync.Mutex
	got     []string // "VM/incarnation:N"
	refused []Refused
}

func (n *node) received() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.got)
}

func (n *node) refusals() []Refused {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.refused)
}

func startNode(t *testing.T, vm fleet.VMID, incarnation fleet.Incarnation, change func(*Config), hold chan struct{}) *node {
	n := &node{set: metrics.NewSet(), hold: hold}
	cfg := Config{
		Self: fleet.Member{VM: vm, Incarnation: incarnation}, Fleet: "test", Region: "addis", Zone: "addis-a",
		Listener: "127.0.0.1:0", Metrics: n.set,
		Handler: func(from fleet.Member, m fleet.Message) {
			if n.hold != nil {
				<-n.hold
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			n.got = append(n.got, fmt.Sprintf("%s:%d", from, m.(*note).N))
		},
		OnRefused: func(_ fleet.VMID, r Refused) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.refused = append(n.refused, r)
		},
	}
	if change != nil {
		change(&cfg)
	}
	var err error
	n.Links, err = New(cfg)
	require.NoError(t, err)
	t.Cleanup(func() { n.Close() })
	return n
}

// knows gives the address of another VM to n.
func (n *node) knows(vm fleet.VMID, addr string) { n.SetPeers(map[fleet.VMID]string{vm: addr}) }

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	require.Eventually(t, done, patience, 5*time.Millisecond, what)
}

// deliver sends numbered messages until one arrives, since a link may lose some.
func deliver(t *testing.T, from, to *node, vm fleet.VMID) {
	t.Helper()
	before := len(to.received())
	eventually(t, "a message arrives", func() bool {
		from.Send(fleet.Envelope{To: vm, Message: &note{N: -1}})
		return len(to.received()) > before
	})
}

// Messages of one connection must arrive complete and in order, and in the
// direction back too, to the address in the hello.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := startNode(t, "a", 1, nil, nil), startNode(t, "b", 1, nil, nil)
	a.knows("b", b.Addr())
	const count = 3000
	var want []string
	for i := range count {
		a.Send(fleet.Envelope{To: "b", Message: &note{N: i, Fill: make([]byte, i%5000)}})
		want = append(want, fmt.Sprintf("a/1:%d", i))
	}
	eventually(t, "all messages arrive", func() bool { return len(b.received()) >= count })
	require.Equal(t, want, b.received())
	require.Equal(t, a.Addr(), b.Peers()[0].Links)
	b.Send(fleet.Envelope{To: "a", Message: &note{N: 7}})
	eventually(t, "the answer arrives", func() bool { return len(a.received()) == 1 })
	require.NoError(t, a.Flush(context.Background()))
}

// A peer that accepts and never reads must not stop the other direction, must be
// noticed, and its queue must stay bounded with the newest messages kept.
func TestPeerThatStopsReading(t *testing.T) {
	stuck, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer stuck.Close()
	var mu sync.Mutex
	accepted := 0
	go func() {
		for {
			conn, err := stuck.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			mu.Lock()
			accepted++
			mu.Unlock()
		}
	}()
	a, b := startNode(t, "a", 1, nil, nil), startNode(t, "b", 1, nil, nil)
	b.knows("a", a.Addr())
	a.knows("b", stuck.Addr().String())
	fill := make([]byte, 64<<10)
	eventually(t, "the connection is given up and made again", func() bool {
		for i := range 100 {
			a.Send(fleet.Envelope{To: "b", Message: &note{N: i, Fill: fill}})
		}
		mu.Lock()
		defer mu.Unlock()
		return accepted > 1
	})
	s := a.sender("b")
	s.mu.Lock()
	require.LessOrEqual(t, s.bytes, maxQueueBytes)
	s.mu.Unlock()
	deliver(t, b, a, "a")
	a.knows("b", b.Addr())
	deliver(t, a, b, "b")
}

// The queue of a peer that is away must stay bounded by count and by bytes, drop
// the oldest messages first, and not outlive its age.
func TestQueueDropsTheOldest(t *testing.T) {
	a := startNode(t, "a", 1, nil, nil)
	s := newSender(a.Links, "b", "127.0.0.1:1") // not running
	now := time.Unix(100, 0)
	for i := range maxQueueMessages + 10 {
		s.push([]byte{byte(i), byte(i >> 8)}, now)
	}
	require.Len(t, s.queue, maxQueueMessages)
	require.Equal(t, []byte{10, 0}, s.queue[0].frame)
	for range 100 {
		s.push(make([]byte, 1<<20), now.Add(time.Second))
	}
	require.Len(t, s.queue, maxQueueBytes>>20)
	require.Equal(t, maxQueueBytes, s.bytes)
	s.push([]byte{1}, now.Add(2*time.Second))
	s.expire(now.Add(time.Second + maxQueueAge + 1))
	require.Len(t, s.queue, 1)
	batch, size := s.take(now.Add(2 * time.Second))
	require.Equal(t, 1, size)
	require.Len(t, batch, 1)
	require.Zero(t, s.bytes)
}

// After a newer process of a VM was heard, an older one that resumes must be
// refused, be told so, and none of its messages may arrive.
func TestOlderIncarnationIsRefused(t *testing.T) {
	b := startNode(t, "b", 1, nil, nil)
	older, newer := startNode(t, "a", 10, nil, nil), startNode(t, "a", 20, nil, nil)
	older.knows("b", b.Addr())
	newer.knows("b", b.Addr())
	deliver(t, older, b, "b")
	deliver(t, newer, b, "b")
	eventually(t, "the older process is refused", func() bool {
		older.Send(fleet.Envelope{To: "b", Message: &note{N: 99}})
		return len(older.refusals()) > 0
	})
	require.Equal(t, Refused{ReasonOlder, fleet.Member{VM: "b", Incarnation: 1}, 20}, older.refusals()[0])
	got := b.received()
	first := slices.Index(got, "a/20:-1")
	for _, m := range got[first:] {
		require.Equal(t, "a/20:-1", m, "a message of the older process after one of the newer")
	}
	deliver(t, newer, b, "b")
	require.Empty(t, newer.refusals())
}

// Each hello that does not belong here must be refused with its reason, and the
// peer must be able to read it although it goes on sending.
func TestHelloRefusals(t *testing.T) {
	b := startNode(t, "b", 1, nil, nil)
	good := Hello{Version: wire.ProtocolVersion, Fleet: "test", From: fleet.Member{VM: "x", Incarnation: 1}, To: "b", Region: "addis", Conn: 1}
	long := make([]byte, maxName+1)
	for reason, change := range map[Reason]func(*Hello){
		ReasonVersion:   func(h *Hello) { h.Version++ },
		ReasonFleet:     func(h *Hello) { h.Fleet = "other" },
		ReasonRecipient: func(h *Hello) { h.To = "c" },
		ReasonForm:      func(h *Hello) { h.Zone = fleet.Zone(long) },
	} {
		hello := good
		change(&hello)
		conn, err := net.Dial("tcp", b.Addr())
		require.NoError(t, err)
		for _, m := range []fleet.Message{&hello, &note{Fill: make([]byte, 300<<10)}} {
			frame, err := wire.Encode(m)
			require.NoError(t, err)
			_, err = conn.Write(frame)
			require.NoError(t, err)
		}
		m, err := wire.Read(conn)
		require.NoError(t, err, "reason %s", reason)
		require.Equal(t, reason, m.(*Refused).Reason)
		conn.Close()
	}
	require.Empty(t, b.Peers())
	require.Empty(t, b.received())
	// Through the sender too, which must not mistake a refusal for a link.
	a := startNode(t, "a", 1, func(c *Config) { c.Fleet = "other" }, nil)
	a.knows("b", b.Addr())
	a.Send(fleet.Envelope{To: "b", Message: &note{}})
	eventually(t, "the fleet is refused", func() bool { return len(a.refusals()) > 0 })
	require.Equal(t, ReasonFleet, a.refusals()[0].Reason)
}

// A first frame that announces a large body must be refused before its bytes come.
func TestLargeHelloIsRefused(t *testing.T) {
	b := startNode(t, "b", 1, nil, nil)
	conn, err := net.Dial("tcp", b.Addr())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte{0, 0x30, 0, 0, 1, 0xf4})
	require.NoError(t, err)
	m, err := wire.Read(conn)
	require.NoError(t, err)
	require.Equal(t, ReasonForm, m.(*Refused).Reason)
}

// A handler that blocks must not let the reconnecting peer take the places of all
// pending connections, and Close must not wait for peers.
func TestBlockedHandler(t *testing.T) {
	hold := make(chan struct{})
	b := startNode(t, "b", 1, nil, hold)
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release) // Close waits for the handler
	a := startNode(t, "a", 1, nil, nil)
	a.knows("b", b.Addr())
	a.Send(fleet.Envelope{To: "b", Message: &note{}})
	eventually(t, "the first process is heard", func() bool { return len(b.Peers()) == 1 })
	again := startNode(t, "a", 2, nil, nil)
	again.knows("b", b.Addr())
	eventually(t, "the next process is refused as busy", func() bool {
		again.Send(fleet.Envelope{To: "b", Message: &note{}})
		return slices.ContainsFunc(again.refusals(), func(r Refused) bool { return r.Reason == ReasonBusy })
	})
	release()
	eventually(t, "the next process is accepted", func() bool {
		again.Send(fleet.Envelope{To: "b", Message: &note{N: 5}})
		return slices.Contains(b.received(), "a/2:5")
	})
}

// Without certificates neither listening nor dialing may leave the loopback.
func TestOnlyLoopbackWithoutCertificates(t *testing.T) {
	_, err := New(Config{Self: fleet.Member{VM: "a", Incarnation: 1}, Listener: "0.0.0.0:0", Handler: func(fleet.Member, fleet.Message) {}})
	require.ErrorContains(t, err, "not a loopback address")
	a := startNode(t, "a", 1, nil, nil)
	_, _, err = newSender(a.Links, "b", "192.0.2.1:7400").dial()
	require.ErrorContains(t, err, "not a loopback address")
}

func withTLS(src *tlsconf.Source) func(*Config) { return func(c *Config) { c.TLS = src } }

// Only a VM whose certificate names it may send as that VM, only the VM that is
// meant may receive, and replaced certificates must come into use.
func TestMutualTLS(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	a := startNode(t, "a", 1, withTLS(ca.source(t, "a")), nil)
	filesB := ca.files(t, "b")
	srcB, err := tlsconf.New(filesB)
	require.NoError(t, err)
	b := startNode(t, "b", 1, withTLS(srcB), nil)
	a.knows("b", b.Addr())
	deliver(t, a, b, "b")

	liar := startNode(t, "c", 1, withTLS(ca.source(t, "not-c")), nil)
	liar.knows("b", b.Addr())
	eventually(t, "a name that is not in the certificate is refused", func() bool {
		liar.Send(fleet.Envelope{To: "b", Message: &note{}})
		return slices.ContainsFunc(liar.refusals(), func(r Refused) bool { return r.Reason == ReasonIdentity })
	})
	_, _, err = newSender(a.Links, "d", b.Addr()).dial()
	require.Error(t, err, "b's certificate was accepted for d")
	wildcard := startNode(t, "e", 1, withTLS(ca.source(t, "*")), nil)
	_, _, err = newSender(a.Links, "e", wildcard.Addr()).dial()
	require.Error(t, err, "one certificate stands for many VMs")
	stranger := startNode(t, "f", 1, withTLS(other.source(t, "f")), nil)
	_, _, err = newSender(stranger.Links, "b", b.Addr()).dial()
	require.Error(t, err, "an unknown authority was accepted")
	_, _, err = newSender(a.Links, "f", stranger.Addr()).dial()
	require.Error(t, err, "an unknown authority was accepted")

	// b's files change to a certificate that does not name b, then back.
	serves := func() bool {
		conn, _, err := newSender(a.Links, "b", b.Addr()).dial()
		if err == nil {
			conn.Close()
		}
		return err == nil
	}
	require.True(t, serves())
	ca.write(t, filesB, "someone-else")
	eventually(t, "the replaced certificate is in use", func() bool { return !serves() })
	ca.write(t, filesB, "b")
	eventually(t, "the right certificate is in use again", serves)
	deliver(t, a, b, "b")
	for _, m := range b.received() {
		require.Contains(t, m, "a/1:", "a message of a VM that was not authenticated")
	}
}
