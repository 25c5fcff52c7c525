package document

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that their result is
// reproducible. -rapid.seed=N runs them with another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20260101")
	}
	os.Exit(m.Run())
}
