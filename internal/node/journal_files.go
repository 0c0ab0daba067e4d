package node

// The file system below the journal, which tests replace.

import (
	"io"
	"os"
)

// fileSystem has the operations on files that the journal needs.
type fileSystem interface {
	Open(path string, flag int) (journalFile, error)
	Rename(from, to string) error
	Remove(path string) error
}

// journalFile is an open file of the journal.
type journalFile interface {
	io.Reader
	io.ReaderAt
	io.WriterAt
	io.Closer
	Name() string
	Stat() (os.FileInfo, error)
	Truncate(size int64) error
}

// systemFiles is the file system of the operating system.
type systemFiles struct{}

const journalFileMode = 0o600

func (systemFiles) Open(path string, flag int) (journalFile, error) {
	f, err := os.OpenFile(path, flag, journalFileMode)
	if err != nil {
		return nil, err // and not f, a nil pointer in an interface
	}
	return f, nil
}

func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (systemFiles) Remove(path string) error { return os.Remove(path) }
