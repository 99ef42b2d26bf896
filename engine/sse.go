package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Event is one server-sent event.
type Event struct {
	// ID is one higher than the id of the previous event.
	ID int
	// Data is valid until the next call of Next.
	Data []byte
	// Done is set for the end marker, whose data is [DONE].
	Done bool
}

var doneMarker = []byte("[DONE]")

// readBufferBytes is the size of several dozen ordinary events, so that a burst of
// events takes one read.
const readBufferBytes = 8 << 10

// Decoder reads server-sent events and checks that each id is one higher than the
// previous one. Lines end with LF or CRLF. Several data lines of an event are joined
// by LF. Comments and fields other than id and data are skipped.
type Decoder struct {
	reader   *bufio.Reader
	maxBytes int
	lastID   int
	done     bool
	// Fields of the event that is being read.
	id      int
	hasID   bool
	hasData bool
	data    []byte
	// longLine holds a line that is longer than the reader's buffer.
	longLine []byte
}

// NewDecoder returns a decoder whose first event must have the id after+1. For an event
// with maxBytes of data or more, Next returns ErrTooLarge.
func NewDecoder(r io.Reader, after, maxBytes int) *Decoder {
	return &Decoder{
		reader:   bufio.NewReaderSize(r, readBufferBytes),
		maxBytes: maxBytes,
		lastID:   after,
	}
}

// LastID returns the id of the last event returned by Next; before the first, the id
// that was passed to NewDecoder.
func (d *Decoder) LastID() int { return d.lastID }

// Next returns the next event. Its errors are:
//
//   - io.EOF after the end marker;
//   - ErrIncomplete if the input ends before the end marker;
//   - ErrEventGap if an event lacks its id or its data, or has the wrong id;
//   - ErrTooLarge if an event exceeds the bound;
//   - read errors, as they are.
func (d *Decoder) Next() (Event, error) {
	if d.done {
		return Event{}, io.EOF
	}
	d.hasID, d.hasData = false, false
	d.data = d.data[:0]
	for {
		line, err := d.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			if err := d.parseField(line); err != nil {
				return Event{}, err
			}
			continue
		}
		if d.hasData || d.hasID {
			return d.finishEvent()
		}
	}
}

func (d *Decoder) finishEvent() (Event, error) {
	if !d.hasID || d.id != d.lastID+1 || !d.hasData {
		return Event{}, ErrEventGap
	}
	d.lastID = d.id
	d.done = bytes.Equal(d.data, doneMarker)
	return Event{ID: d.id, Data: d.data, Done: d.done}, nil
}

func (d *Decoder) parseField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		return d.setID(value)
	case "data":
		return d.addData(value)
	}
	return nil
}

func (d *Decoder) setID(value []byte) error {
	// The converted string does not escape, so the conversion does not allocate.
	id, err := strconv.Atoi(string(value))
	if err != nil || d.hasID {
		return ErrEventGap
	}
	d.id, d.hasID = id, true
	return nil
}

func (d *Decoder) addData(value []byte) error {
	if len(d.data)+len(value) >= d.maxBytes {
		return ErrTooLarge
	}
	if d.hasData {
		d.data = append(d.data, '\n')
	}
	d.data = append(d.data, value...)
	d.hasData = true
	return nil
}

// readLine returns a line without its LF or CRLF, valid until the next call.
func (d *Decoder) readLine() ([]byte, error) {
	line, err := d.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = d.readLongLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, ErrIncomplete
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

func (d *Decoder) readLongLine(start []byte) ([]byte, error) {
	d.longLine = append(d.longLine[:0], start...)
	for {
		part, err := d.reader.ReadSlice('\n')
		d.longLine = append(d.longLine, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return d.longLine, err
		}
		if len(d.longLine) > d.maxBytes {
			return nil, ErrTooLarge
		}
	}
}
