package router

import (
	"context"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kumquathollow/kumquathollow/internal/drain"
)

// Exit codes of kqrouter, in addition to those of package errkind.
const (
	// ExitRequestsAborted: requests still in flight after Shutdown.Finish were aborted.
	ExitRequestsAborted = 10
	// ExitOutcomesUnrecorded: outcomes of claims were not recorded within
	// Shutdown.Settle; they stay unknown.
	ExitOutcomesUnrecorded = 11
	// ExitSecondSignal: a second signal ended the process before the shutdown was complete.
	ExitSecondSignal = 12
)

// finalResultsDelay leaves time for the last results to reach the grantors before the
// sessions are closed.
const finalResultsDelay = 100 * time.Millisecond

// Run serves until it receives a signal, then shuts down gracefully:
//
//  1. The router becomes unready, and responses ask clients to close their connections.
//  2. New requests are still accepted for Shutdown.BalancerWait, so that the load
//     balancer can notice. Those that would outlast Shutdown.Finish are refused.
//  3. The callers listener is closed and later requests are refused. Requests in
//     flight have Shutdown.Finish to complete.
//  4. The outcomes of claims are recorded, within Shutdown.Settle.
//  5. The grantor lease is released and the process ends.
//
// A second signal ends the process at once. The returned exit code is 0 if every step
// completed, else ExitRequestsAborted, ExitOutcomesUnrecorded or ExitSecondSignal.
func (r *Router) Run(signals <-chan os.Signal) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, gctx := errgroup.WithContext(ctx)
	if err := r.serve(gctx, g); err != nil {
		return 0, err
	}
	grantorCtx, stopGrantor := context.WithCancel(gctx)
	defer stopGrantor()
	grantorDone := make(chan struct{})
	g.Go(func() error {
		defer close(grantorDone)
		return r.grantorServer.Run(grantorCtx)
	})
	r.log.Info("listening", "name", r.settings.Name, "data-centre", r.settings.DataCentre,
		"callers", r.callers.Addr(), "announce", r.announce.Addr(), "fleet", r.fleet.Addr(), "admin", r.admin.Addr())

	select {
	case <-gctx.Done():
		return 0, g.Wait()
	case <-signals:
	}
	done := make(chan int, 1)
	go func() { done <- r.shutDown(stopGrantor, grantorDone) }()
	select {
	case code := <-done:
		cancel()
		_ = g.Wait()
		return code, r.dialer.Close()
	case <-signals:
		r.log.Warn("second signal received; ending without waiting for requests in flight", "in-flight", r.dispatcher.InFlight())
		return ExitSecondSignal, nil
	}
}

func (r *Router) shutDown(stopGrantor func(), grantorDone <-chan struct{}) int {
	limits := r.settings.Shutdown
	r.log.Info("shutting down", "in-flight", r.dispatcher.InFlight())
	r.ready.SetReason(reasonShutdown, true)
	r.dispatcher.Stop(time.Now().Add(limits.BalancerWait.AsDuration() + limits.Finish.AsDuration()))
	time.Sleep(limits.BalancerWait.AsDuration())

	code := r.drainRequests(limits.Finish.AsDuration())
	r.dispatcher.Close()
	if unrecorded := r.flushClaims(limits.Settle.AsDuration()); unrecorded > 0 {
		r.log.Error("outcomes of claims not recorded within shutdown.settle; they stay unknown", "claims", unrecorded)
		code = max(code, ExitOutcomesUnrecorded)
	}
	time.Sleep(finalResultsDelay)
	stopGrantor()
	<-grantorDone
	_ = r.announceServer.Close()
	_ = r.adminServer.Close()
	r.log.Info("shut down", "exit-code", code)
	return code
}

// drainRequests waits up to timeout for requests in flight, then aborts the rest.
func (r *Router) drainRequests(timeout time.Duration) int {
	r.dispatcher.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := drain.Shutdown(ctx, r.callerServer, r.callers); err == nil || err == http.ErrServerClosed {
		return 0
	}
	r.log.Error("requests aborted: still in flight at the end of shutdown.finish", "in-flight", r.dispatcher.InFlight())
	_ = r.callerServer.Close()
	return ExitRequestsAborted
}

func (r *Router) flushClaims(timeout time.Duration) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return r.claims.Flush(ctx)
}
