package wal

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/iotest"
)

// The form is what files on disk have: it must not change.
func TestAppendFormat(t *testing.T) {
	const want = "\x03\x00\x00\x00\xc2A$5abc\x01\x00\x00\x00\x8d\xef\x02\xd2\x00"
	if got := Append(Append(nil, []byte("abc")), []byte{0}); string(got) != want {
		t.Errorf("got %q", got)
	}
}

// readAll returns the bodies, how many bytes were whole, and the error that ended it.
func readAll(log io.Reader) ([]string, int64, error) {
	var bodies []string
	r := NewReader(log, 100)
	for {
		body, err := r.Next()
		if err != nil {
			if _, again := r.Next(); again != err {
				return nil, 0, fmt.Errorf("first %v, then %v", err, again)
			}
			return bodies, r.Offset(), err
		}
		bodies = append(bodies, string(body))
	}
}

// Whatever is cut off or changed, what stands before it is read, and nothing else.
func TestReaderStopsAtTornRecord(t *testing.T) {
	var log []byte
	ends := []int{0}
	bodies := []string{"a", "second", string(bytes.Repeat([]byte("c"), 100))}
	for _, body := range bodies {
		log = Append(log, []byte(body))
		ends = append(ends, len(log))
	}
	check := func(how string, text []byte, n int, clean bool) {
		t.Helper()
		for _, r := range []io.Reader{bytes.NewReader(text), iotest.OneByteReader(bytes.NewReader(text))} {
			got, whole, err := readAll(r)
			if fmt.Sprint(got) != fmt.Sprint(bodies[:n]) || whole != int64(ends[n]) {
				t.Fatalf("%s: %q, %d bytes whole", how, got, whole)
			}
			if clean != (err == io.EOF) || !clean && !errors.Is(err, ErrTorn) {
				t.Fatalf("%s: %v", how, err)
			}
		}
	}
	before := func(at int) (n int) { // whole records that end at or before it
		for n+1 < len(ends) && ends[n+1] <= at {
			n++
		}
		return n
	}
	for at := range len(log) + 1 {
		n := before(at)
		check(fmt.Sprint("cut at ", at), log[:at], n, ends[n] == at)
		if at < len(log) {
			flipped := bytes.Clone(log)
			flipped[at] ^= 0x40
			check(fmt.Sprint("flipped at ", at), flipped, n, false)
		}
	}
	check("zeros", append(bytes.Clone(log), make([]byte, 64)...), 3, false)
	check("too long", Append(bytes.Clone(log), make([]byte, 101)), 3, false)
}

// An error of reading is no torn record: what is behind it may well be whole.
func TestReaderReturnsReadErrors(t *testing.T) {
	log := Append(Append(nil, []byte("a")), []byte("b"))
	for at := range len(log) {
		broken := errors.New("broken disk")
		if _, _, err := readAll(io.MultiReader(bytes.NewReader(log[:at]), iotest.ErrReader(broken))); err != broken {
			t.Fatalf("at %d: %v", at, err)
		}
	}
}
