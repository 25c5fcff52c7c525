package pool

import (
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// pickBlind dispatches at once to the server with the fewest requests of this VM,
// among those that are not ejected. The server sheds what it cannot take.
func (c *client) pickBlind(now fleet.Time, w *Work) (int32, bool, bool) {
	return c.pickLeast(func(r *row) bool {
		return c.allowed(now, r, w) && now >= r.cl.avoidUntil
	}, func(r *row) bool { return c.allowed(now, r, w) })
}

// pickLeast returns the row with the least own work that passes the first test, or
// if there is none, the second. Ties go round robin.
func (c *client) pickLeast(tests ...func(*row) bool) (int32, bool, bool) {
	n := len(c.pool.order)
	c.next++
	for _, test := range tests {
		best := int32(-1)
		for k := range n {
			i := c.pool.order[(c.next+k)%n]
			if r := &c.pool.rows[i]; test(r) && (best < 0 || r.cl.used < c.pool.rows[best].cl.used) {
				best = i
			}
		}
		if best >= 0 {
			return best, false, true
		}
	}
	return -1, false, false
}

// excluded reports whether the work already tried the row's server.
func excluded(r *row, w *Work) bool { return slices.Contains(w.Exclude, r.server.ID) }
