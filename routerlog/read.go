package routerlog

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
)

// maxLineBytes bounds one line. A longer one is counted as bad.
const maxLineBytes = 64 << 10

var gzipMagic = []byte{0x1f, 0x8b}

// Read passes each line of the input to use, and the number of bad lines (too long or not a
// line of a router) to bad. The input may be compressed with gzip. text is valid until use
// returns.
func Read(input io.Reader, use func(line Line, text []byte), bad func()) error {
	reader := bufio.NewReaderSize(input, maxLineBytes)
	if magic, err := reader.Peek(len(gzipMagic)); err == nil && bytes.Equal(magic, gzipMagic) {
		compressed, err := gzip.NewReader(reader)
		if err != nil {
			return fmt.Errorf("decompressing: %w", err)
		}
		reader = bufio.NewReaderSize(compressed, maxLineBytes)
	}
	for {
		text, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			bad()
			if err = skipLine(reader); err == nil {
				continue
			}
			text = nil
		}
		if text = bytes.TrimSpace(text); len(text) > 0 {
			line, parseErr := parseLine(text)
			if parseErr != nil {
				bad()
			} else {
				use(line, text)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("reading lines: %w", err)
		}
	}
}

// skipLine reads to the end of the current line.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
