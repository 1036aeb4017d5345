package directory

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/durable"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/storage"
)

const (
	// quorumPollInterval is how often a process with a damaged data folder asks whether the
	// others have a quorum, and quorumPollTimeout limits one question.
	quorumPollInterval = time.Second
	quorumPollTimeout  = 2 * time.Second
	// waitingLogInterval is how often it logs that they do not.
	waitingLogInterval = time.Minute
	// A process whose disk has no room for its data folder tries again after
	// minRoomPollInterval, then after twice the time each, up to maxRoomPollInterval.
	minRoomPollInterval = 100 * time.Millisecond
	maxRoomPollInterval = 2 * time.Second
)

// OpenOrReplace is like Open, but replaces a damaged data folder: it waits until a quorum
// of the other processes confirms that it holds the state, sets the folder's files aside and
// opens an empty one, with which the process joins the group as a new voter. Without a
// quorum it waits until ctx ends, since the damaged folder may be needed. It also waits for
// room on a disk that has none for a new folder.
func OpenOrReplace(ctx context.Context, fs vfs.FS, conf *Settings, log hclog.Logger) (*Process, error) {
	p, err := openWithRoom(ctx, fs, conf, log)
	if !errkind.Is(err, errkind.DamagedStorage) || errors.Is(err, storage.ErrFormat) {
		return p, err
	}
	if err := awaitOtherQuorum(ctx, conf, log); err != nil {
		return nil, err
	}
	prefix, err := storage.SetAside(fs, conf.Data)
	if err != nil {
		return nil, err
	}
	log.Warn("damaged data folder set aside; joining the group as a new voter", "folder", conf.Data, "files", prefix+"*")
	return openWithRoom(ctx, fs, conf, log)
}

// openWithRoom is like Open, but waits while the disk is full.
func openWithRoom(ctx context.Context, fs vfs.FS, conf *Settings, log hclog.Logger) (*Process, error) {
	for wait := minRoomPollInterval; ; wait = min(maxRoomPollInterval, 2*wait) {
		p, err := Open(fs, conf, log)
		if !durable.IsDiskFull(err) {
			return p, err
		}
		log.Error("disk full: the data folder is opened once there is room", "folder", conf.Data, "retry-after", wait)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
}

func awaitOtherQuorum(ctx context.Context, conf *Settings, log hclog.Logger) error {
	own := conf.Fleet
	if conf.FleetAddress != "" {
		own = conf.FleetAddress
	}
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidSettings, "fleet address %q", own)
	}
	dialer := rpc.NewFleetDialer()
	defer func() { _ = dialer.Close() }()
	var loggedAt time.Time
	for {
		for _, address := range rpc.WithPort(conf.Seeds, port) {
			if address != own && confirmsQuorum(ctx, dialer, address) {
				return nil
			}
		}
		if time.Since(loggedAt) >= waitingLogInterval {
			loggedAt = time.Now()
			log.Error("data folder damaged, and the other directory processes have no quorum: waiting for them. If no majority of the voters has an intact folder, restore one from a copy", "folder", conf.Data, "seeds", conf.Seeds)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(quorumPollInterval):
		}
	}
}

// confirmsQuorum reports whether the directory process at the address is confirmed by a
// quorum now. This process is not part of it, since it does not run.
func confirmsQuorum(ctx context.Context, dialer *rpc.Dialer, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, quorumPollTimeout)
	defer cancel()
	conn, err := dialer.DialUnpooled(ctx, address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	stream, err := fleetpb.NewDRPCDirectoryClient(conn).Follow(ctx)
	if err != nil || stream.Send(&fleetpb.FollowRequest{Router: "a directory process with a damaged data folder", Ping: 1}) != nil {
		return false
	}
	for {
		u, err := stream.Recv()
		switch {
		case err != nil:
			return false
		case u.Pong == 1:
			return u.Confirmed
		}
	}
}
