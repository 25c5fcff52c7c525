package pool

import (
	"container/heap"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Limits of a client's queue.
const (
	maxQueueLen = 8192
	// maxQueueWait limits the wait regardless of the deadline, so that the backlog of an
	// overload is cleared 2 s after its end. With a limit of 1.5 s that took 2.4 s at
	// half load.
	maxQueueWait = time.Second
)

// queueItem is queued work.
type queueItem struct {
	work       Work
	pool       *pool
	route      *route
	queuedAt   fleet.Time
	expiry     fleet.Time // time at which the work is refused
	class      int8
	long       bool
	index      int  // position in its heap; -1 if not queued
	restricted bool // the work excludes servers
}

// itemHeap orders the items of one class by expiry, then by work ID.
type itemHeap []*queueItem

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if h[i].expiry != h[j].expiry {
		return h[i].expiry < h[j].expiry
	}
	return h[i].work.ID < h[j].work.ID
}
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*queueItem)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}

// queue holds a client's queued work by class. Short and long work have separate heaps, so
// that long work without a free long slot does not block short work behind it. Work that
// excludes servers is kept separately for the same reason.
type queue struct {
	heaps      [classes][2]itemHeap
	restricted itemHeap
	n          int
	topClass   int // no class above this one has queued work
}

func (q *queue) heapFor(it *queueItem) *itemHeap {
	if it.restricted {
		return &q.restricted
	}
	if it.long {
		return &q.heaps[it.class][1]
	}
	return &q.heaps[it.class][0]
}

func (q *queue) add(it *queueItem) {
	heap.Push(q.heapFor(it), it)
	q.n++
	q.topClass = max(q.topClass, int(it.class))
}

func (q *queue) remove(it *queueItem) {
	heap.Remove(q.heapFor(it), it.index)
	it.index = -1
	q.n--
}

// lowest returns an item with a late expiry from the lowest non-empty class. It returns a
// restricted item if there is no other, or nil if the queue is empty.
func (q *queue) lowest() *queueItem {
	for c := range q.heaps {
		for k := range q.heaps[c] {
			if h := q.heaps[c][k]; len(h) > 0 {
				return h[len(h)-1]
			}
		}
	}
	if len(q.restricted) > 0 {
		return q.restricted[0]
	}
	return nil
}

// oldestQueuedAt returns when the first item of the highest non-empty class was queued, or
// 0 if there is none.
func (q *queue) oldestQueuedAt() fleet.Time {
	for c := q.topClass; c >= 0; c-- {
		for k := range q.heaps[c] {
			if h := q.heaps[c][k]; len(h) > 0 {
				return h[0].queuedAt
			}
		}
	}
	return 0
}

// demands returns the queue lengths by class for the coordinator.
func (q *queue) demands() []Demand {
	if q.n == 0 {
		return nil
	}
	var count, long [classes]int
	for c := range q.heaps {
		count[c] = len(q.heaps[c][0]) + len(q.heaps[c][1])
		long[c] = len(q.heaps[c][1])
	}
	for _, it := range q.restricted {
		count[it.class]++
		if it.long {
			long[it.class]++
		}
	}
	var out []Demand
	for c := classes - 1; c >= 0; c-- {
		if count[c] > 0 {
			out = append(out, Demand{Class: c, Count: count[c], Long: long[c]})
		}
	}
	return out
}

// enqueue queues a piece of work. If the queue is full, the work with the lowest class is
// refused.
func (c *client) enqueue(now fleet.Time, it *queueItem) {
	if c.queue.n >= maxQueueLen {
		low := c.queue.lowest()
		if low.class >= it.class {
			c.refuse(now, it, result.NoCapacity)
			return
		}
		c.queue.remove(low)
		c.refuse(now, low, result.NoCapacity)
	}
	c.queue.add(it)
	c.p.queued[it.work.ID] = it
	c.queuedSinceSync++
}

func (c *client) refuse(now fleet.Time, it *queueItem, code result.Code) {
	delete(c.p.queued, it.work.ID)
	c.p.decisions = append(c.p.decisions, Decision{Work: it.work.ID, Code: code, Queued: now.Sub(it.queuedAt)})
}

// expireQueued refuses queued work that has reached its expiry.
func (c *client) expireQueued(now fleet.Time) {
	if c.queue.n == 0 {
		return
	}
	for cl := range c.queue.heaps {
		for k := range c.queue.heaps[cl] {
			c.expireHeap(now, &c.queue.heaps[cl][k])
		}
	}
	c.expireHeap(now, &c.queue.restricted)
}

// waitLimit returns the latest end of a wait that starts at the given time. Work waits
// only as long as it can still meet its deadline.
func (it *queueItem) waitLimit(from fleet.Time) fleet.Time {
	until := from.Add(maxQueueWait)
	if it.work.Deadline > 0 {
		until = min(until, it.work.Deadline.Add(-it.route.p90()))
	}
	return until
}

func (c *client) expireHeap(now fleet.Time, h *itemHeap) {
	for len(*h) > 0 && (*h)[0].expiry <= now {
		it := heap.Pop(h).(*queueItem)
		if until := it.waitLimit(c.grantingFrom); it.queuedAt < c.grantingFrom && until > now {
			// A coordinator that has just taken over grants nothing for one lease. This
			// time does not count towards maxQueueWait, since it is not backlog.
			it.expiry = until
			heap.Push(h, it)
			continue
		}
		c.queue.n--
		code := result.DeadlineInQueue
		if now.Sub(it.queuedAt) >= maxQueueWait {
			code = result.NoCapacity
		}
		c.refuse(now, it, code)
	}
}
