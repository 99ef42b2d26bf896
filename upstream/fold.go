package upstream

// foldScanner looks for a line of a head that begins with a blank. Such a line is a folded part of
// the line before (RFC 9112, section 5.2), or a field whose name begins with a blank. net/http joins
// it to the value before it, whichever it is. The zero value is ready for the bytes of a head.
type foldScanner struct {
	lines  int // complete lines
	column int // bytes of the current line without carriage returns
	ended  bool
	found  bool
}

// scan reads the next bytes. It passes over those after the end of the head.
func (s *foldScanner) scan(data []byte) {
	for _, b := range data {
		if s.ended {
			return
		}
		s.next(b)
	}
}

func (s *foldScanner) next(b byte) {
	switch b {
	case '\n':
		s.ended = s.column == 0
		s.lines++
		s.column = 0
		return
	case '\r':
		return
	case ' ', '\t':
		if s.column == 0 && s.lines > 0 {
			s.found = true
		}
	}
	s.column++
}
