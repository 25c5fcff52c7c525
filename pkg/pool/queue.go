package pool

import (
	"container/heap"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Bounds of a client's queue.
const (
	maxQueue = 8192
	// maxQueueWait bounds the wait whatever the deadline, so that the backlog of an
	// overload is gone 2 s after its end: with 1.5 s it took 2.4 s at half load.
	maxQueueWait = time.Second
)

// item is queued work.
type item struct {
	work       Work
	pool       *pool
	route      *route
	since      fleet.Time
	expiry     fleet.Time // when it is refused
	class      int8
	long       bool
	index      int // in its heap; -1 when not queued
	restricted bool
}

// itemHeap orders one class by deadline, then by age.
type itemHeap []*item

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

// Push appends an item, for container/heap.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop removes the last item, for container/heap.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}

// queue holds a client's waiting work by class, short and long apart so that a long
// piece that finds no long slot does not block short work behind it. Work that
// excludes servers is kept apart for the same reason.
type queue struct {
	heaps      [classes][2]itemHeap
	restricted itemHeap
	n          int
	top        int // no work above this class
}

func (q *queue) heapOf(it *item) *itemHeap {
	if it.restricted {
		return &q.restricted
	}
	if it.long {
		return &q.heaps[it.class][1]
	}
	return &q.heaps[it.class][0]
}

func (q *queue) add(it *item) {
	heap.Push(q.heapOf(it), it)
	q.n++
	q.top = max(q.top, int(it.class))
}

func (q *queue) remove(it *item) {
	heap.Remove(q.heapOf(it), it.index)
	it.index = -1
	q.n--
}

// lowest returns the queued item with the lowest class, the latest deadline last.
func (q *queue) lowest() *item {
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

// oldest returns the time since which the longest-waiting work of the highest
// non-empty class waits, or 0.
func (q *queue) oldest() fleet.Time {
	for c := q.top; c >= 0; c-- {
		for k := range q.heaps[c] {
			if h := q.heaps[c][k]; len(h) > 0 {
				return h[0].since
			}
		}
	}
	return 0
}

// demands summarizes the queue for the coordinator.
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

// admit queues a piece of work, or refuses the least of the queue when it is full.
func (c *client) admit(now fleet.Time, it *item) {
	if c.queue.n >= maxQueue {
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
	c.arrived++
}

func (c *client) refuse(now fleet.Time, it *item, code result.Code) {
	delete(c.p.queued, it.work.ID)
	c.p.decisions = append(c.p.decisions, Decision{Work: it.work.ID, Code: code, Queued: now.Sub(it.since)})
}

// expire refuses queued work whose time has come. Each heap is ordered by expiry.
func (c *client) expire(now fleet.Time) {
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

// waitsUntil returns the end of a wait that counts from a time. Work that could not
// finish by its deadline waits no longer.
func (it *item) waitsUntil(from fleet.Time) fleet.Time {
	until := from.Add(maxQueueWait)
	if it.work.Deadline > 0 {
		until = min(until, it.work.Deadline.Add(-it.route.p90()))
	}
	return until
}

func (c *client) expireHeap(now fleet.Time, h *itemHeap) {
	for len(*h) > 0 && (*h)[0].expiry <= now {
		it := heap.Pop(h).(*item)
		if until := it.waitsUntil(c.openAt); it.since < c.openAt && until > now {
			// A coordinator that has just taken over lends nothing for one lease. That
			// time is no backlog, so it does not count against the queue's bound.
			it.expiry = until
			heap.Push(h, it)
			continue
		}
		c.queue.n--
		code := result.DeadlineInQueue
		if now.Sub(it.since) >= maxQueueWait {
			code = result.NoCapacity
		}
		c.refuse(now, it, code)
	}
}
