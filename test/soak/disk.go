package soak

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

const (
	// diskWriters write at the same time, in blocks of diskBlockBytes. Each syncs and begins anew
	// after diskBlocksPerSync blocks.
	diskWriters       = 4
	diskBlockBytes    = 4 << 20
	diskBlocksPerSync = 64
)

// loadDisk writes and syncs large files in a folder for a time, and then removes them.
func loadDisk(ctx context.Context, dir string, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range diskWriters {
		wg.Go(func() { writeAndSync(ctx, filepath.Join(dir, "disk-load-"+strconv.Itoa(i))) })
	}
	wg.Wait()
}

func writeAndSync(ctx context.Context, name string) {
	f, err := os.Create(name)
	if err != nil {
		return
	}
	defer func() {
		_ = f.Close()
		_ = os.Remove(name)
	}()
	block := make([]byte, diskBlockBytes)
	for n := int64(0); ctx.Err() == nil; n++ {
		at := n % diskBlocksPerSync * diskBlockBytes
		if _, err := f.WriteAt(block, at); err != nil {
			return
		}
		if at == (diskBlocksPerSync-1)*diskBlockBytes && f.Sync() != nil {
			return
		}
	}
}
