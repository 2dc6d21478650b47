package storage

import (
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FileSystem is the file access that a Store needs. Paths are absolute or
// relative to the working directory of the process. A created, renamed or removed
// directory entry is durable only after SyncDir of its directory.
type FileSystem interface {
	// MakeDir creates a directory and its parents; it may exist already.
	MakeDir(path string) error
	// List returns the file names of a directory in ascending order.
	List(dir string) ([]string, error)
	// Read returns the content of a file.
	Read(path string) ([]byte, error)
	// Create creates or empties a file for writing.
	Create(path string) (File, error)
	// Rename renames a file within its directory and replaces an existing file.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDir makes created, renamed and removed directory entries durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock on a file, or fails immediately if it is locked.
	// Closing the result releases the lock.
	Lock(path string) (io.Closer, error)
}

// File is a file open for writing. Written bytes are durable only after Sync.
type File interface {
	io.WriteCloser
	Sync() error
}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// osFileSystem is the FileSystem of the operating system.
type osFileSystem struct{}

func (osFileSystem) MakeDir(path string) error { return os.MkdirAll(path, dirMode) }

func (osFileSystem) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (osFileSystem) Read(path string) ([]byte, error) { return os.ReadFile(filepath.Clean(path)) }

func (osFileSystem) Create(path string) (File, error) {
	return os.OpenFile(filepath.Clean(path), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) Remove(path string) error { return os.Remove(path) }

func (osFileSystem) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		_ = d.Close()
		return err
	}
	return d.Close()
}

func (osFileSystem) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Clean(path), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}
