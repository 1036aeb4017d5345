package replay

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/trace"
)

const (
	readyTimeout  = 30 * time.Second
	ledgerTimeout = 10 * time.Second
	// ledgerDelay is the time for the last runs to end before the ledgers are read.
	ledgerDelay = time.Second
)

// Play replays the trace and returns the observation.
func Play(ctx context.Context, conf Settings) (Observation, error) {
	records, err := trace.ReadFile(conf.Trace)
	if err != nil {
		return Observation{}, err
	}
	balancer := NewBalancer(conf.Routers, conf.Seed)
	bctx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { balancer.Run(bctx) })
	defer wg.Wait()
	defer stop()
	if err := waitReady(ctx, balancer, len(conf.Routers)); err != nil {
		return Observation{}, err
	}
	o := Observation{Records: expandTrace(records, conf.RepeatDuration, conf.Speed), Bounds: conf.bounds()}
	playRecords(ctx, conf, balancer, &o)
	time.Sleep(ledgerDelay)
	o.Samples = balancer.Samples()
	if o.Ledger, err = fetchLedgers(ctx, conf.Ledgers); err != nil {
		return o, err
	}
	o.Events, err = readEvents(conf.Events)
	return o, err
}

// expandTrace divides the times by speed and repeats the trace until repeat has
// passed. The keys, chats and lookups of a repetition get new names.
func expandTrace(records []trace.Record, repeat time.Duration, speed float64) []trace.Record {
	var out []trace.Record
	if len(records) == 0 {
		return out
	}
	length := records[len(records)-1].AtMs
	for round := int64(0); ; round++ {
		for _, r := range records {
			r.AtMs = int64(float64(r.AtMs+round*length) / speed)
			if round > 0 {
				r.RenameForRound(int(round))
			}
			if repeat > 0 && r.At() > repeat {
				return out
			}
			out = append(out, r)
		}
		if repeat == 0 || length == 0 {
			return out
		}
	}
}

func waitReady(ctx context.Context, b *Balancer, want int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for b.ReadyCount() < want {
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return errkind.New(errkind.NotReady, "%d of %d routers are ready", b.ReadyCount(), want)
		}
	}
	return nil
}

// playRecords starts a caller for each record at its time and waits for all callers.
func playRecords(ctx context.Context, conf Settings, b *Balancer, o *Observation) {
	client := NewClient()
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i, r := range o.Records {
		select {
		case <-time.After(time.Until(start.Add(r.At()))):
		case <-ctx.Done():
			wg.Wait()
			return
		}
		wg.Go(func() {
			c := &caller{client: client, balancer: b, timeout: conf.CallerTimeout, index: i, record: r}
			result, exchanges := c.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			o.Results = append(o.Results, result)
			o.Exchanges = append(o.Exchanges, exchanges...)
		})
	}
	wg.Wait()
}

func fetchLedgers(ctx context.Context, urls []string) ([]standin.Entry, error) {
	client := &http.Client{Timeout: ledgerTimeout}
	var out []standin.Entry
	for _, u := range urls {
		entries, err := fetchLedger(ctx, client, u)
		if err != nil {
			return nil, err
		}
		out = append(out, entries...)
	}
	return out, nil
}

// fetchLedger fails if the ledger is cut: a part of it would hide runs.
func fetchLedger(ctx context.Context, client *http.Client, u string) ([]standin.Entry, error) {
	req, err := sling.New().Get(u).Request()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "ledger %s", u)
	}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unreachable, "ledger %s", u)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode != http.StatusOK:
		return nil, errkind.New(errkind.Internal, "ledger %s: status %d", u, resp.StatusCode)
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return nil, errkind.New(errkind.Internal, "ledger %s: the response has no length, so a truncation could not be detected", u)
	}
	entries, err := trace.DecodeLines[standin.Entry](json.NewDecoder(resp.Body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "ledger %s, entry %d", u, len(entries)+1)
	}
	return entries, nil
}

// readEvents reads the events file. It returns no events if path is empty.
func readEvents(path string) ([]Event, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "open events file")
	}
	defer func() { _ = f.Close() }()
	out, err := trace.DecodeLines[Event](json.NewDecoder(f))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "decode events file, event %d", len(out)+1)
	}
	return out, nil
}
