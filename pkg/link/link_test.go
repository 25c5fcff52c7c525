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

// waitTimeout bounds each wait for a condition. It is long, since it only ends tests that fail.
const waitTimeout = time.Minute

type testMessage struct {
	N    int    `msgpack:"n"`
	Fill []byte `msgpack:"f,omitempty"`
}

func (*testMessage) Kind() fleet.Kind { return 65001 }

func init() { wire.Register(func() fleet.Message { return &testMessage{} }) }

// testLinks holds the links of one VM and the messages and refusals that they received.
type testLinks struct {
	*Links
	set          *metrics.Set
	blockHandler chan struct{} // if not nil, the handler blocks until it is closed

	mu          sync.Mutex
	gotMessages []string // "VM/incarnation:N"
	refused     []Refusal
}

func (n *testLinks) received() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.gotMessages)
}

func (n *testLinks) refusals() []Refusal {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.refused)
}

// startLinks starts the links of a VM. The function change may modify their configuration; the handler
// blocks until blockHandler is closed, unless it is nil.
func startLinks(t *testing.T, vm fleet.VMID, incarnation fleet.Incarnation, change func(*Config), blockHandler chan struct{}) *testLinks {
	n := &testLinks{set: metrics.NewSet(), blockHandler: blockHandler}
	cfg := Config{
		Self: fleet.Member{VM: vm, Incarnation: incarnation}, Fleet: "test", Region: "addis", Zone: "addis-a",
		ListenAddr: "127.0.0.1:0", Metrics: n.set,
		Handler: func(from fleet.Member, m fleet.Message) {
			if n.blockHandler != nil {
				<-n.blockHandler
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			n.gotMessages = append(n.gotMessages, fmt.Sprintf("%s:%d", from, m.(*testMessage).N))
		},
		OnRefused: func(_ fleet.VMID, r Refusal) {
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

// setPeer makes another VM the only listed peer of n.
func (n *testLinks) setPeer(vm fleet.VMID, addr string) { n.SetPeers(map[fleet.VMID]string{vm: addr}) }

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	require.Eventually(t, done, waitTimeout, 5*time.Millisecond, what)
}

// deliver sends messages until one arrives, since a link may lose some.
func deliver(t *testing.T, from, to *testLinks, vm fleet.VMID) {
	t.Helper()
	before := len(to.received())
	eventually(t, "a message arrives", func() bool {
		from.Send(fleet.Envelope{To: vm, Message: &testMessage{N: -1}})
		return len(to.received()) > before
	})
}

// Messages of one connection must arrive complete and in order. A peer that is not listed
// must be reachable at the address in its hello.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := startLinks(t, "a", 1, nil, nil), startLinks(t, "b", 1, nil, nil)
	a.setPeer("b", b.Addr())
	const count = 3000
	var want []string
	for i := range count {
		a.Send(fleet.Envelope{To: "b", Message: &testMessage{N: i, Fill: make([]byte, i%5000)}})
		want = append(want, fmt.Sprintf("a/1:%d", i))
	}
	eventually(t, "all messages arrive", func() bool { return len(b.received()) >= count })
	require.Equal(t, want, b.received())
	require.Equal(t, a.Addr(), b.Peers()[0].LinkAddr)
	b.Send(fleet.Envelope{To: "a", Message: &testMessage{N: 7}})
	eventually(t, "the reply arrives", func() bool { return len(a.received()) == 1 })
	require.NoError(t, a.Flush(context.Background()))
}

// A peer that accepts connections but never reads must be detected and must not affect the
// other direction, and its queue must stay within the limits.
func TestPeerStopsReading(t *testing.T) {
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
	a, b := startLinks(t, "a", 1, nil, nil), startLinks(t, "b", 1, nil, nil)
	b.setPeer("a", a.Addr())
	a.setPeer("b", stuck.Addr().String())
	fill := make([]byte, 64<<10)
	eventually(t, "the connection is closed and dialed again", func() bool {
		for i := range 100 {
			a.Send(fleet.Envelope{To: "b", Message: &testMessage{N: i, Fill: fill}})
		}
		mu.Lock()
		defer mu.Unlock()
		return accepted > 1
	})
	s := a.getSender("b")
	s.mu.Lock()
	require.LessOrEqual(t, s.queuedBytes, maxQueueBytes)
	s.mu.Unlock()
	deliver(t, b, a, "a")
	a.setPeer("b", b.Addr())
	deliver(t, a, b, "b")
}

// The queue of an unreachable peer must stay within the limits on messages and bytes, drop
// the oldest messages first, and drop messages that exceed the maximum age.
func TestQueueDropsOldestMessages(t *testing.T) {
	a := startLinks(t, "a", 1, nil, nil)
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
	require.Equal(t, maxQueueBytes, s.queuedBytes)
	s.push([]byte{1}, now.Add(2*time.Second))
	s.dropExpired(now.Add(time.Second + maxQueueAge + 1))
	require.Len(t, s.queue, 1)
	batch, size := s.takeBatch(now.Add(2 * time.Second))
	require.Equal(t, 1, size)
	require.Len(t, batch, 1)
	require.Zero(t, s.queuedBytes)
}

// After a newer process of a VM has connected, an older process that resumes must receive a
// refusal, and none of its messages may be delivered.
func TestOlderIncarnationIsRefused(t *testing.T) {
	b := startLinks(t, "b", 1, nil, nil)
	older, newer := startLinks(t, "a", 10, nil, nil), startLinks(t, "a", 20, nil, nil)
	older.setPeer("b", b.Addr())
	newer.setPeer("b", b.Addr())
	deliver(t, older, b, "b")
	deliver(t, newer, b, "b")
	eventually(t, "the older process is refused", func() bool {
		older.Send(fleet.Envelope{To: "b", Message: &testMessage{N: 99}})
		return len(older.refusals()) > 0
	})
	require.Equal(t, Refusal{ReasonOlderIncarnation, fleet.Member{VM: "b", Incarnation: 1}, 20}, older.refusals()[0])
	got := b.received()
	first := slices.Index(got, "a/20:-1")
	for _, m := range got[first:] {
		require.Equal(t, "a/20:-1", m, "message of the older process after one of the newer process")
	}
	deliver(t, newer, b, "b")
	require.Empty(t, newer.refusals())
}

// Each kind of unacceptable hello must be refused with its reason, and the peer must be able
// to read the refusal although it keeps sending.
func TestInvalidHelloIsRefused(t *testing.T) {
	b := startLinks(t, "b", 1, nil, nil)
	good := Hello{Version: wire.ProtocolVersion, Fleet: "test", From: fleet.Member{VM: "x", Incarnation: 1}, To: "b", Region: "addis", ConnID: 1}
	long := make([]byte, maxHelloFieldBytes+1)
	for reason, change := range map[Reason]func(*Hello){
		ReasonVersion:   func(h *Hello) { h.Version++ },
		ReasonFleet:     func(h *Hello) { h.Fleet = "other" },
		ReasonRecipient: func(h *Hello) { h.To = "c" },
		ReasonMalformed: func(h *Hello) { h.Zone = fleet.Zone(long) },
	} {
		hello := good
		change(&hello)
		conn, err := net.Dial("tcp", b.Addr())
		require.NoError(t, err)
		for _, m := range []fleet.Message{&hello, &testMessage{Fill: make([]byte, 300<<10)}} {
			frame, err := wire.Encode(m)
			require.NoError(t, err)
			_, err = conn.Write(frame)
			require.NoError(t, err)
		}
		m, err := wire.Read(conn)
		require.NoError(t, err, "reason %s", reason)
		require.Equal(t, reason, m.(*Refusal).Reason)
		conn.Close()
	}
	require.Empty(t, b.Peers())
	require.Empty(t, b.received())
	// A sender must recognize the refusal too.
	a := startLinks(t, "a", 1, func(c *Config) { c.Fleet = "other" }, nil)
	a.setPeer("b", b.Addr())
	a.Send(fleet.Envelope{To: "b", Message: &testMessage{}})
	eventually(t, "the fleet is refused", func() bool { return len(a.refusals()) > 0 })
	require.Equal(t, ReasonFleet, a.refusals()[0].Reason)
}

// A first frame with a large body must be refused on its header, before the body arrives.
func TestLargeHelloIsRefused(t *testing.T) {
	b := startLinks(t, "b", 1, nil, nil)
	conn, err := net.Dial("tcp", b.Addr())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte{0, 0x30, 0, 0, 1, 0xf4})
	require.NoError(t, err)
	m, err := wire.Read(conn)
	require.NoError(t, err)
	require.Equal(t, ReasonMalformed, m.(*Refusal).Reason)
}

// While a handler blocks, a reconnecting peer must be refused and not occupy all pending
// connections, and it must be accepted once the handler returns. Close must not wait for peers.
func TestBlockedHandlerRefusesReconnects(t *testing.T) {
	hold := make(chan struct{})
	b := startLinks(t, "b", 1, nil, hold)
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release) // Close waits for the handler
	a := startLinks(t, "a", 1, nil, nil)
	a.setPeer("b", b.Addr())
	a.Send(fleet.Envelope{To: "b", Message: &testMessage{}})
	eventually(t, "the first process is connected", func() bool { return len(b.Peers()) == 1 })
	restarted := startLinks(t, "a", 2, nil, nil)
	restarted.setPeer("b", b.Addr())
	eventually(t, "the next process is refused as busy", func() bool {
		restarted.Send(fleet.Envelope{To: "b", Message: &testMessage{}})
		return slices.ContainsFunc(restarted.refusals(), func(r Refusal) bool { return r.Reason == ReasonBusy })
	})
	release()
	eventually(t, "the next process is accepted", func() bool {
		restarted.Send(fleet.Envelope{To: "b", Message: &testMessage{N: 5}})
		return slices.Contains(b.received(), "a/2:5")
	})
}

// Without certificates, listening and dialing must be limited to loopback addresses.
func TestLoopbackOnlyWithoutCertificates(t *testing.T) {
	_, err := New(Config{Self: fleet.Member{VM: "a", Incarnation: 1}, ListenAddr: "0.0.0.0:0", Handler: func(fleet.Member, fleet.Message) {}})
	require.ErrorContains(t, err, "not a loopback address")
	a := startLinks(t, "a", 1, nil, nil)
	_, _, err = newSender(a.Links, "b", "192.0.2.1:7400").dial()
	require.ErrorContains(t, err, "not a loopback address")
}

func withTLS(src *tlsconf.Source) func(*Config) { return func(c *Config) { c.TLS = src } }

// With TLS, the certificates of both sides must match their VM ids, and replaced certificate
// files must be loaded.
func TestMutualTLS(t *testing.T) {
	ca, other := newTestCA(t), newTestCA(t)
	a := startLinks(t, "a", 1, withTLS(ca.newSource(t, "a")), nil)
	filesB := ca.newCertificateFiles(t, "b")
	srcB, err := tlsconf.New(filesB)
	require.NoError(t, err)
	b := startLinks(t, "b", 1, withTLS(srcB), nil)
	a.setPeer("b", b.Addr())
	deliver(t, a, b, "b")

	impostor := startLinks(t, "c", 1, withTLS(ca.newSource(t, "not-c")), nil)
	impostor.setPeer("b", b.Addr())
	eventually(t, "a name that is not in the certificate is refused", func() bool {
		impostor.Send(fleet.Envelope{To: "b", Message: &testMessage{}})
		return slices.ContainsFunc(impostor.refusals(), func(r Refusal) bool { return r.Reason == ReasonIdentity })
	})
	_, _, err = newSender(a.Links, "d", b.Addr()).dial()
	require.Error(t, err, "b's certificate was accepted for d")
	wildcard := startLinks(t, "e", 1, withTLS(ca.newSource(t, "*")), nil)
	_, _, err = newSender(a.Links, "e", wildcard.Addr()).dial()
	require.Error(t, err, "a wildcard certificate was accepted")
	otherCALinks := startLinks(t, "f", 1, withTLS(other.newSource(t, "f")), nil)
	_, _, err = newSender(otherCALinks.Links, "b", b.Addr()).dial()
	require.Error(t, err, "an unknown authority was accepted")
	_, _, err = newSender(a.Links, "f", otherCALinks.Addr()).dial()
	require.Error(t, err, "an unknown authority was accepted")

	// b's files change to a certificate that does not name b, then back.
	dialSucceeds := func() bool {
		conn, _, err := newSender(a.Links, "b", b.Addr()).dial()
		if err == nil {
			conn.Close()
		}
		return err == nil
	}
	require.True(t, dialSucceeds())
	ca.writeCertificate(t, filesB, "someone-else")
	eventually(t, "the replaced certificate is in use", func() bool { return !dialSucceeds() })
	ca.writeCertificate(t, filesB, "b")
	eventually(t, "the right certificate is in use again", dialSucceeds)
	deliver(t, a, b, "b")
	for _, m := range b.received() {
		require.Contains(t, m, "a/1:", "a message of a VM that was not authenticated")
	}
}
