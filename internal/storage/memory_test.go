package storage

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

var errCrash = errors.New("the machine crashed")

// memFile is a file in memory. A crash may lose its bytes beyond synced.
type memFile struct {
	data   []byte
	synced int
	// syncFailed reports whether a sync failed: later syncs report success, but the
	// bytes never reach the disk, as on Linux.
	syncFailed bool
}

// memFS is a file system in memory. A crash may lose unsynced bytes and names.
type memFS struct {
	// names holds the current files by name, durable those of the last SyncDir.
	names, durable map[string]*memFile
	// fail is called before each change with the operation and the name of the file.
	// The change fails if it returns an error.
	fail func(op, name string) error
	rng  *rand.Rand
}

func newMemFS() *memFS {
	return &memFS{
		names: map[string]*memFile{}, durable: map[string]*memFile{},
		fail: func(string, string) error { return nil },
		rng:  rand.New(rand.NewPCG(1, 1)),
	}
}

// crash returns the file system that a restart after a crash finds: it contains a
// random part of the unsynced bytes and names.
func (f *memFS) crash() *memFS {
	after := newMemFS()
	after.rng = f.rng
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		if f.durable[name] != f.names[name] && f.rng.IntN(2) == 0 {
			f.durable[name] = f.names[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		file := f.durable[name]
		if f.names[name] == nil && f.rng.IntN(2) == 0 {
			continue // an unsynced removal
		}
		kept := file.synced
		if !file.syncFailed {
			kept += f.rng.IntN(len(file.data) - file.synced + 1)
		}
		data := slices.Clone(file.data[:kept])
		if kept < len(file.data) && f.rng.IntN(2) == 0 {
			data = append(data, make([]byte, len(file.data)-kept)...) // the size was written, the data was not
		}
		after.names[name] = &memFile{data: data, synced: len(data)}
	}
	after.durable = maps.Clone(after.names)
	return after
}

func (f *memFS) MakeDir(string) error { return nil }

func (f *memFS) List(string) ([]string, error) { return slices.Sorted(maps.Keys(f.names)), nil }

func (f *memFS) Read(path string) ([]byte, error) {
	return slices.Clone(f.names[filepath.Base(path)].data), nil
}

func (f *memFS) Create(path string) (File, error) {
	name := filepath.Base(path)
	if err := f.fail("create", name); err != nil {
		return nil, err
	}
	f.names[name] = &memFile{}
	return &memHandle{f, name, f.names[name]}, nil
}

func (f *memFS) Rename(from, to string) error {
	if err := f.fail("rename", filepath.Base(to)); err != nil {
		return err
	}
	f.names[filepath.Base(to)] = f.names[filepath.Base(from)]
	delete(f.names, filepath.Base(from))
	return nil
}

func (f *memFS) Remove(path string) error {
	if err := f.fail("remove", filepath.Base(path)); err != nil {
		return err
	}
	delete(f.names, filepath.Base(path))
	return nil
}

func (f *memFS) SyncDir(string) error {
	if err := f.fail("sync directory", ""); err != nil {
		return err
	}
	f.durable = maps.Clone(f.names)
	return nil
}

func (f *memFS) Lock(string) (io.Closer, error) { return &memHandle{}, nil }

type memHandle struct {
	fs   *memFS
	name string
	file *memFile
}

// Write writes only the first half of the bytes if fail returns an error.
func (h *memHandle) Write(b []byte) (int, error) {
	err := h.fs.fail("write", h.name)
	if err != nil {
		b = b[:len(b)/2]
	}
	h.file.data = append(h.file.data, b...)
	if errors.Is(err, io.ErrShortWrite) {
		err = nil // only the count shows the short write
	}
	return len(b), err
}

func (h *memHandle) Sync() error {
	if err := h.fs.fail("sync", h.name); err != nil {
		h.file.syncFailed = true
		return err
	}
	if !h.file.syncFailed {
		h.file.synced = len(h.file.data)
	}
	return nil
}

func (h *memHandle) Close() error { return nil }
