package ctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// snapshotSave writes a consistent copy of the replicated state to a file. It
// writes to a temporary file, which is renamed once it is complete and synced.
func (a *app) snapshotSave() error {
	tmp := a.path + ".tmp"
	var size int64
	err := a.client.call(a.ctx, func(ctx context.Context, c controlpb.DRPCControlClient) (err error) {
		size, err = receiveSnapshot(ctx, c, tmp)
		return err
	})
	if err != nil {
		_ = os.Remove(tmp)
		return err
	}
	if err := os.Rename(tmp, a.path); err != nil {
		return errkind.Wrap(err, errkind.Usage, "write the snapshot")
	}
	a.printResult(map[string]any{"file": a.path, "bytes": size}, func(w io.Writer) {
		fmt.Fprintf(w, "%d bytes saved to %s\n", size, a.path)
	})
	return nil
}

func receiveSnapshot(ctx context.Context, c controlpb.DRPCControlClient, path string) (size int64, err error) {
	stream, err := c.SaveSnapshot(ctx, &controlpb.SaveSnapshotRequest{})
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.Usage, "create the snapshot file")
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	w := bufio.NewWriter(f)
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return size, err
		}
		n, err := w.Write(chunk.Data)
		if err != nil {
			return size, errkind.Wrap(err, errkind.Usage, "write the snapshot")
		}
		size += int64(n)
	}
	if err := w.Flush(); err != nil {
		return size, errkind.Wrap(err, errkind.Usage, "write the snapshot")
	}
	return size, f.Sync()
}
