package bounded

// headLines finds obsolete line folding, lines that begin with a space or tab, in the head of a response and in those of the informational
// responses before it. net/http joins such a line with the one before it.
type headLines struct {
	// folded is set once such a line was found, ended after the empty line at the end of the head.
	folded, ended bool
	// line and column, from 0, are those of the next byte.
	line, column int
	// informational is set if another head follows.
	informational bool
}

// statusColumn is the column of the first digit of the status in a status line.
const statusColumn = len("HTTP/1.1 ")

// scan takes the next bytes of the connection.
func (h *headLines) scan(b []byte) {
	for _, c := range b {
		if h.ended {
			return
		}
		h.next(c)
	}
}

func (h *headLines) next(c byte) {
	switch {
	case c == '\n':
		h.endLine()
		return
	case c == '\r':
		return
	case h.line == 0 && h.column == statusColumn:
		h.informational = c == '1'
	case h.column == 0 && (c == ' ' || c == '\t'):
		h.folded = true
	}
	h.column++
}

func (h *headLines) endLine() {
	switch {
	case h.column > 0:
		h.line++
		h.column = 0
	case h.informational:
		h.line, h.informational = 0, false
	default:
		h.ended = true
	}
}
