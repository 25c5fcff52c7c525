package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration written with a unit, as in "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String returns d with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// Size is a number of bytes written with a unit, as in "64KiB".
type Size int64

// Units of Size.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
	GiB Size = 1 << 30
)

var sizeUnits = []struct {
	suffix string
	size   Size
}{{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}, {"B", 1}}

// String returns s in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range []int{2, 1, 0} {
		if unit := sizeUnits[u]; s != 0 && s%unit.size == 0 {
			return fmt.Sprintf("%d%s", s/unit.size, unit.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

func parseSize(text string) (Size, bool) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 32)
		if err != nil {
			return 0, false
		}
		return Size(n) * unit.size, true
	}
	return 0, false
}
