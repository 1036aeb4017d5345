package router

import (
	"context"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// Exit codes of kqrouter beside those of package errkind.
const (
	// ExitCut: requests were cut off when the time to finish was over.
	ExitCut = 10
	// ExitUnsettled: outcomes of claims could not be recorded; they stay unknown.
	ExitUnsettled = 11
	// ExitAtOnce: a second signal ended the process without waiting.
	ExitAtOnce = 12
)

// resultTime lets the last results reach the grantors before the sessions end.
const resultTime = 100 * time.Millisecond

// Run serves until a signal comes, then shuts down gracefully:
//
//  1. Readiness fails, and answers ask callers to close their connections.
//  2. Requests are still taken until the balancer has had time to see it.
//  3. The listener closes, later requests are refused, those in flight finish.
//  4. Outcomes of claims are recorded.
//  5. The grantor lease is released and the process ends.
//
// Each step is bounded. A second signal ends the process at once. The returned
// code says which of these came about.
func (r *Router) Run(signals <-chan os.Signal) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, gctx := errgroup.WithContext(ctx)
	if err := r.serve(gctx, g); err != nil {
		return 0, err
	}
	granting, stopGranting := context.WithCancel(gctx)
	defer stopGranting()
	granted := make(chan struct{})
	g.Go(func() error {
		defer close(granted)
		return r.grantor.Run(granting)
	})
	r.log.Info("listening", "name", r.settings.Name, "data-centre", r.settings.DataCentre,
		"callers", r.callers.Addr(), "announce", r.announce.Addr(), "fleet", r.fleet.Addr(), "admin", r.admin.Addr())

	select {
	case <-gctx.Done():
		return 0, g.Wait()
	case <-signals:
	}
	done := make(chan int, 1)
	go func() { done <- r.shutDown(stopGranting, granted) }()
	select {
	case code := <-done:
		cancel()
		_ = g.Wait()
		return code, r.dialer.Close()
	case <-signals:
		r.log.Warn("second signal: ending at once", "in-flight", r.dispatcher.InFlight())
		return ExitAtOnce, nil
	}
}

func (r *Router) shutDown(stopGranting func(), granted <-chan struct{}) int {
	limits := r.settings.Shutdown
	r.log.Info("shutting down", "in-flight", r.dispatcher.InFlight())
	r.ready.Set(reasonShutdown, true)
	r.dispatcher.CloseConnections()
	time.Sleep(limits.BalancerWait.D())

	code := r.finish(limits.Finish.D())
	r.dispatcher.Close()
	if left := r.flushClaims(limits.Settle.D()); left > 0 {
		r.log.Error("outcomes of claims not recorded; they stay unknown", "claims", left)
		code = max(code, ExitUnsettled)
	}
	time.Sleep(resultTime)
	stopGranting()
	<-granted
	_ = r.announceServer.Close()
	_ = r.adminServer.Close()
	r.log.Info("shut down", "exit-code", code)
	return code
}

// finish lets requests in flight end within the bound.
func (r *Router) finish(bound time.Duration) int {
	r.dispatcher.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if err := r.callerServer.Shutdown(ctx); err == nil || err == http.ErrServerClosed {
		return 0
	}
	r.log.Error("requests cut off at the end of the time to finish", "in-flight", r.dispatcher.InFlight())
	_ = r.callerServer.Close()
	return ExitCut
}

func (r *Router) flushClaims(bound time.Duration) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	return r.claims.Flush(ctx)
}
