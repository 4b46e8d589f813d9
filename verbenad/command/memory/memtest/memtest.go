// Package memtest measures memory for tests.
package memtest

import "runtime"

// Kept returns how many bytes of the heap the result of decode keeps. Nothing else may allocate meanwhile.
func Kept(decode func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := decode()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}
