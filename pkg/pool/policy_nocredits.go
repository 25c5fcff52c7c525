package pool

import (
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// pickWithoutCredits selects the server with the fewest requests of this VM among those
// that are not ejected. It needs no credit; a server without a free slot sheds the request.
func (c *client) pickWithoutCredits(now fleet.Time, w *Work) (int32, bool, bool) {
	return c.pickLeastLoaded(func(r *row) bool {
		return c.eligible(now, r, w) && now >= r.client.avoidUntil
	}, func(r *row) bool { return c.eligible(now, r, w) })
}

// pickLeastLoaded returns the row with the least work of this VM that passes the first
// test. If no row passes a test, it tries the following one. Ties are broken round robin.
func (c *client) pickLeastLoaded(tests ...func(*row) bool) (int32, bool, bool) {
	n := len(c.pool.sortedRows)
	c.nextRow++
	for _, test := range tests {
		best := int32(-1)
		for k := range n {
			i := c.pool.sortedRows[(c.nextRow+k)%n]
			if r := &c.pool.rows[i]; test(r) && (best < 0 || r.client.used < c.pool.rows[best].client.used) {
				best = i
			}
		}
		if best >= 0 {
			return best, false, true
		}
	}
	return -1, false, false
}

// excluded reports whether the work has already tried the row's server.
func excluded(r *row, w *Work) bool { return slices.Contains(w.Exclude, r.server.ID) }
