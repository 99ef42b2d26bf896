package upstream

import "bytes"

// Framing is what has been read of the chunks of a response's body (RFC 9112, section 7.1). Offsets
// count the bytes of the body without its framing. A chunk of which bytes were lost ends in the bytes
// after it, which is noticed only there.
type Framing struct {
	// Chunked is set if the body is in chunks.
	Chunked bool
	// Ended is the offset at which the last chunk ended whose end mark has been read.
	Ended int64
	// Followed is the offset at which the last chunk ended that is followed by a valid size.
	Followed int64
	// DataEnd is the offset at which the data of a chunk ended whose end mark is still to come or is
	// wrong; -1 if there is no such chunk.
	DataEnd int64
}

// Checked reports whether the body up to an offset, at which a message of the endpoint ends, can have
// lost no bytes. If the message ends with its chunk, the end mark of the chunk is enough. Otherwise
// the chunk must be followed by another one. A body that is not in chunks has nothing to check.
func (f Framing) Checked(offset int64) bool {
	return !f.Chunked || offset <= f.Followed || offset == f.Ended
}

// Doubtful reports whether the end mark of the chunk around an offset, at which a message of the endpoint
// ends, may still show that the chunk has lost bytes. A chunk that ends with the message has hardly lost any.
func (f Framing) Doubtful(offset int64) bool {
	return f.Chunked && offset > f.Ended && f.DataEnd >= 0 && offset != f.DataEnd
}

// chunkScanner follows the chunks of a body in the bytes of its connection. It only observes them: the
// reader of net/http decodes and checks the body. The zero value scans nothing.
type chunkScanner struct {
	state   chunkState
	framing Framing
	read    int64  // bytes of the body
	left    uint64 // bytes of the current chunk that have not been read
	line    []byte // the part of the line with a chunk's size that has been read
}

type chunkState int

const (
	chunksIdle    chunkState = iota // no body in chunks, or its last chunk or a malformed one has been read
	chunkSize                       // in the line with the size
	chunkData                       // in the data
	chunkDataDone                   // in the mark after the data
)

const (
	maxChunkLine = 4 << 10
	chunkEndMark = "\r\n"
)

// newChunkScanner returns a scanner for the bytes after the head of a response in chunks.
func newChunkScanner() chunkScanner {
	return chunkScanner{state: chunkSize, framing: Framing{Chunked: true, DataEnd: -1}}
}

// scan reads the next bytes.
func (s *chunkScanner) scan(data []byte) {
	for len(data) > 0 && s.state != chunksIdle {
		switch s.state {
		case chunkSize:
			data = s.scanSize(data)
		case chunkData:
			n := min(uint64(len(data)), s.left)
			s.left -= n
			s.read += int64(n)
			data = data[n:]
			if s.left == 0 {
				s.state, s.framing.DataEnd = chunkDataDone, s.read
			}
		case chunkDataDone:
			data = s.scanEndMark(data)
		}
	}
}

// scanSize reads a part of the line with a chunk's size, and returns the rest of the data.
func (s *chunkScanner) scanSize(data []byte) []byte {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		end = len(data) - 1
	}
	s.line = append(s.line, data[:end+1]...)
	data = data[end+1:]
	if len(s.line) > maxChunkLine {
		s.state = chunksIdle
		return nil
	}
	line, complete := bytes.CutSuffix(s.line, []byte(chunkEndMark))
	if !complete {
		if bytes.HasSuffix(s.line, []byte("\n")) {
			s.state = chunksIdle
		}
		return data
	}
	size, valid := parseChunkSize(line)
	s.line = s.line[:0]
	if !valid {
		s.state = chunksIdle
		return nil
	}
	s.framing.Followed = s.framing.Ended
	if size == 0 {
		s.state = chunksIdle
		return nil
	}
	s.state, s.left = chunkData, size
	return data
}

// parseChunkSize parses a size in hex that may be followed by extensions and blanks.
func parseChunkSize(line []byte) (size uint64, valid bool) {
	digits, _, _ := bytes.Cut(bytes.TrimRight(line, " \t"), []byte(";"))
	const maxDigits = 15 // so that the size fits in an int64
	if len(digits) == 0 || len(digits) > maxDigits {
		return 0, false
	}
	for _, b := range digits {
		switch {
		case b >= '0' && b <= '9':
			b -= '0'
		case b >= 'a' && b <= 'f':
			b -= 'a' - 10
		case b >= 'A' && b <= 'F':
			b -= 'A' - 10
		default:
			return 0, false
		}
		size = size<<4 | uint64(b)
	}
	return size, true
}

// scanEndMark reads a part of the mark after a chunk's data, and returns the rest of the data.
func (s *chunkScanner) scanEndMark(data []byte) []byte {
	n := min(len(data), len(chunkEndMark)-len(s.line))
	s.line = append(s.line, data[:n]...)
	if string(s.line) == chunkEndMark[:1] {
		return nil
	}
	if string(s.line) != chunkEndMark {
		s.state = chunksIdle
		return nil
	}
	s.line = s.line[:0]
	s.state, s.framing.Ended, s.framing.DataEnd = chunkSize, s.read, -1
	return data[n:]
}
