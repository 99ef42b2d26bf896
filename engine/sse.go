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
	// ID is one more than the id of the event before.
	ID int
	// Data is valid until the next call of Next.
	Data []byte
	// Done is set for the end marker, whose data is [DONE].
	Done bool
}

var doneMarker = []byte("[DONE]")

// readBufferBytes holds several dozen events of ordinary size, so that a burst
// takes one read.
const readBufferBytes = 8 << 10

// Decoder reads server-sent events and checks that ids rise by one. Lines end with
// LF or CRLF. Several data lines of an event are joined by LF. Comments and fields
// other than id and data are skipped.
type Decoder struct {
	reader   *bufio.Reader
	maxBytes int
	last     int
	done     bool
	id       int
	hasID    bool
	hasData  bool
	data     []byte
	line     []byte
}

// NewDecoder returns a decoder of the events that follow the id after. Events of
// more than maxBytes fail with ErrTooLarge.
func NewDecoder(r io.Reader, after, maxBytes int) *Decoder {
	return &Decoder{
		reader:   bufio.NewReaderSize(r, readBufferBytes),
		maxBytes: maxBytes,
		last:     after,
	}
}

// Last returns the id of the last event returned by Next.
func (d *Decoder) Last() int { return d.last }

// Next returns the next event. After the end marker it returns io.EOF. An input
// that ends earlier gives an error that wraps ErrCut; a wrong id gives ErrGap.
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
			if err := d.field(line); err != nil {
				return Event{}, err
			}
			continue
		}
		if d.hasData || d.hasID {
			return d.event()
		}
	}
}

func (d *Decoder) event() (Event, error) {
	if !d.hasID || d.id != d.last+1 || !d.hasData {
		return Event{}, ErrGap
	}
	d.last = d.id
	d.done = bytes.Equal(d.data, doneMarker)
	return Event{ID: d.id, Data: d.data, Done: d.done}, nil
}

func (d *Decoder) field(line []byte) error {
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
	// The conversion doesn't escape, so it doesn't allocate.
	id, err := strconv.Atoi(string(value))
	if err != nil || d.hasID {
		return ErrGap
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

// readLine returns a line without its end, valid until the next call.
func (d *Decoder) readLine() ([]byte, error) {
	line, err := d.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = d.readLongLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, ErrCut
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

func (d *Decoder) readLongLine(start []byte) ([]byte, error) {
	d.line = append(d.line[:0], start...)
	for {
		part, err := d.reader.ReadSlice('\n')
		d.line = append(d.line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return d.line, err
		}
		if len(d.line) > d.maxBytes {
			return nil, ErrTooLarge
		}
	}
}
