package raft

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/peer"
)

// TestTrailingEntriesAreBoundedInBytes guards against a replica that keeps thousands of large commands in memory, since
// only their number was bounded.
func TestTrailingEntriesAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	var l memlog
	for n := range 100 {
		l.append(peer.NewEntry(peer.Index(n+1), 1, peer.NewCommand(make([]byte, 1000))))
	}
	is.Equal(l.trailingFrom(90, 4096, 1<<20), peer.Index(0))
	is.Equal(l.trailingFrom(90, 20, 1<<20), peer.Index(70))
	i := l.trailingFrom(90, 4096, 10_000)
	is.True(i >= 80 && i <= 82)
	is.Equal(l.trailingFrom(90, 4096, 10), peer.Index(90))
	l.compact(i)
	is.Equal(l.base, i)
	is.Equal(l.last(), peer.Index(100))
	is.Equal(l.trailingFrom(i, 4096, 10_000), i)
}
