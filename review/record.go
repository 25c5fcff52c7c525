package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record.txt: what was sent, answered and run, with seconds since the start of the script.

var (
	origin   = time.Now()
	recordMu sync.Mutex
	recordW  *bufio.Writer
	recordF  *os.File
)

func openRecord(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	recordF, recordW = f, bufio.NewWriterSize(f, 1<<16)
	return nil
}

// since returns the seconds from the start of the script to t.
func since(t time.Time) float64 { return t.Sub(origin).Seconds() }

func note(who, format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordW != nil {
		fmt.Fprintf(recordW, "%8.3f %-10s %s\n", since(time.Now()), who, fmt.Sprintf(format, args...))
	}
}

// say writes to the record and to standard output.
func say(format string, args ...any) {
	note("script", format, args...)
	fmt.Printf(format+"\n", args...)
}

func closeRecord() {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordW != nil {
		_ = recordW.Flush()
		_ = recordF.Close()
		recordW = nil
	}
}
