// Command standins plays the scripts of this review: it starts the project's program with the command of the deploy file, as
// separate processes on loopback addresses, together with stand-ins of the platform's store, of servers and of clients.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is one run of a case.
type play struct {
	root, dir string
	trouble   bool
}

// cases are the scripts by name. Each reports whether its rule was broken.
var cases = map[string]func(p *play) (broken bool, err error){
	"early-answer":       earlyAnswer,
	"early-stop":         earlyStop,
	"limit-other-region": limitOtherRegion,
	"limit-restart":      limitRestart,
	"foreign-entry":      foreignEntry,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE REPOSITORY RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, record string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	if root, err = filepath.Abs(root); err != nil {
		return exitFailed
	}
	if err := openRecord(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer closeRecord()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		closeRecord()
		os.Exit(exitFailed) // the machines' processes end with this one
	}()
	p := &play{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := cases[name](p)
	switch {
	case err != nil:
		say("could not run: %v", err)
		return exitFailed
	case broken:
		say("the rule was broken")
		return exitBroken
	}
	say("the rule held")
	return exitHeld
}

// spread returns work times around a mean, as the site files have them.
func spread(mean time.Duration) func() time.Duration {
	return func() time.Duration { return time.Duration(float64(mean) * (0.6 + 0.8*rand.Float64())) }
}

var errNotServed = errors.New("the deployment serves too little without the disruption")
