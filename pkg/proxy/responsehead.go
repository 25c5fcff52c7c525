package proxy

import (
	"bytes"

	"github.com/juju/errors"
)

// maxHeadLines is the number of lines in the head of a server's response. net/http limits the bytes of a head only, and a
// parsed line takes about 120 bytes however short it is, so that this many lines take about as much as the bytes may.
const maxHeadLines = 512

// maxTrailers is the number of trailers that a response may announce. Names of a few bytes in one line take as much memory
// as lines do, and net/http keeps them until the body ends.
const maxTrailers = 64

var errHeadLines = errors.New("the head of the response has too many lines")

// statusColumn is where the status code begins in a status line, after any further spaces.
const statusColumn = len("HTTP/1.1 ")

// headCounter counts the lines of a response's head while it is read.
type headCounter struct {
	lines         int  // complete lines of the current head
	column        int  // bytes of the current line
	hasText       bool // the current line is not blank
	hasStatus     bool // the first digit of the status code was read
	informational bool // the current head is that of a 1xx response, which another head follows
	ended         bool // the final head is complete
}

// count counts the lines in the next bytes of a response. It reports whether the head has too many.
func (h *headCounter) count(p []byte) (exceeded bool) {
	for !h.ended && len(p) > 0 && h.lines < maxHeadLines {
		line, rest, complete := bytes.Cut(p, []byte{'\n'})
		if !h.hasStatus {
			h.readStatus(line)
		}
		h.column += len(line)
		h.hasText = h.hasText || len(bytes.Trim(line, "\r")) > 0
		if complete {
			h.endLine()
		}
		p = rest
	}
	return h.lines >= maxHeadLines
}

// readStatus finds the first digit of the status code in a part of the status line.
func (h *headCounter) readStatus(part []byte) {
	part = bytes.TrimLeft(part[min(len(part), max(0, statusColumn-h.column)):], " ")
	if len(part) > 0 {
		h.hasStatus, h.informational = true, part[0] == '1'
	}
}

func (h *headCounter) endLine() {
	switch {
	case h.hasText:
		h.lines++
		h.column, h.hasText = 0, false
	case h.informational:
		*h = headCounter{}
	default:
		h.ended = true
	}
}
