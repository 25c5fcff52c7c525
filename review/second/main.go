// Command standins2 runs the scripted cases of the second review: it starts the system's processes and the stand-ins of
// clients, servers and the platform's store, and judges what these saw. It exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// setup is what a case gets.
type setup struct {
	rec     *record
	dir     string // temporary folder
	trouble bool
}

var cases = map[string]func(setup) (broken bool, err error){
	"headers": runHeaders,
	"prefix":  runPrefix,
	"restore": runRestore,
	"stop":    runStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER, in the repository's root")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	s := setup{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := cases[name](s)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
