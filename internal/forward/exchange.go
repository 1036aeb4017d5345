package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
	"github.com/kumquathollow/kumquathollow/internal/httpguard"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
	"github.com/kumquathollow/kumquathollow/internal/memory"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
	"github.com/kumquathollow/kumquathollow/internal/rollout"
	"github.com/kumquathollow/kumquathollow/internal/routing"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// exchange is one client request and its response.
type exchange struct {
	f    *Forwarder
	w    http.ResponseWriter
	r    *http.Request
	rc   *http.ResponseController
	view *fleetview.Snapshot
	// confirmedAt is when view, or an earlier one, was last confirmed, by the boot clock; 0 if none was.
	confirmedAt time.Duration
	startedAt   time.Time

	requestInfo RequestInfo
	route       *catalog.Route
	service     *catalog.Service
	workspace   *catalog.Workspace
	body        []byte
	bodyRead    bool
	// reservedBytes is the memory reserved for the body, reservedResponseBytes that for
	// responses, and reservedHeadBytes the part of it that is for their heads.
	reservedBytes, reservedResponseBytes, reservedHeadBytes int64
	ctx                                                     context.Context
	deadline                                                time.Time
	affinityKey                                             uint64
	prefixHashes                                            []uint64
	requestHash                                             uint64
	// sharedTokens is the number of tokens in the shared parts of the prompt.
	sharedTokens int
	// fingerprint is equal for requests that repeat each other.
	fingerprint routing.Fingerprint
	// subjects are the shared parts of the prompt, in order, and the request itself.
	subjects []quarantine.Subject

	// origin is the version that began the stream, once that is known: the request is sent
	// only to servers with it.
	origin streamorigin.Origin
	// began is the incarnation at which the stream began, until it is known that it has that version.
	began *beginning
	// resumedBy says for the log what decided whether a stream that the client resumes goes on, or why it does not.
	resumedBy string

	// sends counts the backend servers to which the request was sent, failedDials
	// those to which it could not be sent, and unreachable those of them to which no
	// connection could be opened.
	sends, failedDials, unreachable int
	// handedOffTo are the addresses of the routers to which the request was handed off.
	handedOffTo []string
	// slowPeer is the last one if it did not accept the connection in time.
	slowPeer string
	// received is what another router told of the request that it handed off; nil for a
	// client's own request.
	received *handoff.Request
	// confirming is set while that router keeps its call beyond the deadline, since the end of the response is confirmed.
	confirming bool
	// excluded are the ids of the servers to which the request was sent, or that this router could
	// not reach. sentTo are those of the former: another router may reach the others.
	excluded, sentTo []string
	// anyMayHaveRun is set once an attempt may have run.
	anyMayHaveRun bool
	// errorResponse is a backend server's own 5xx response. It is relayed if no
	// later attempt succeeds.
	errorResponse *bufferedResponse

	headerSent bool
	// status is the status sent to the client; firstEvent is the time from the
	// arrival of the request until the first event was ready to be sent.
	status      int
	firstEvent  time.Duration
	eventsSent  int
	lastEventID string
	// afterUnnumbered is set if events without an id were relayed after that one.
	afterUnnumbered bool
	// nothingLeft is set once a server has said that nothing is left of the stream that the client resumes.
	nothingLeft bool
	// mayHaveEnded is set once a server has ended the stream so that it may be whole or not: the next ones are
	// asked to write the last event again. brokeInside is set if the stream last broke inside of an event, and so
	// goes on. asksEarlier is set if the present attempt asks for the last event.
	mayHaveEnded, brokeInside, asksEarlier bool
	// askAgain are the servers that knew of nothing that is left. They are asked for the last event if no other
	// one can be.
	askAgain   []string
	lastPicked *placement.PickResult
	// unframed is set if the last server's response has no length.
	unframed bool
	// silence fires if nothing is received from any server after the present attempt was sent.
	silence *time.Timer
	// serverDeadline is that of the last server that responded.
	serverDeadline deadline.Server
	// counted is the attempt that runs, if the service has a running rollout.
	counted *rollout.Attempt
}

func (x *exchange) serve() error {
	if err := httpguard.CheckFraming(x.r); err != nil {
		x.w.Header().Set("Connection", "close")
		return err
	}
	notReady := x.admit()
	if notReady != nil && !(errkind.Is(notReady, errkind.NotReady) && x.mayHandOff() && x.f.CanHandOff()) {
		return notReady
	}
	if err := x.checkStopping(); err != nil {
		return err
	}
	defer x.releaseMemory()
	if err := x.readBody(); err != nil {
		return err
	}
	x.continueHandoff()
	x.deadline = x.startedAt.Add(x.timeout())
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if notReady != nil {
		return x.fail(x.handOffAll(notReady))
	}
	if err := x.resolveOrigin(); err != nil {
		return x.fail(err)
	}
	x.setSubjects()
	if x.received == nil { // The other router has counted it.
		x.f.budgetFor(x.service.Name).recordRequest(x.startedAt)
	}
	return x.runAttempts()
}

// timeout returns how long the request may take.
func (x *exchange) timeout() time.Duration {
	timeout := maxTimeout
	if x.route != nil {
		timeout = x.route.Timeout
	}
	if x.requestInfo.Timeout > 0 {
		timeout = min(timeout, x.requestInfo.Timeout)
	}
	return timeout
}

// maxTimeout limits a request whose route is not known here. Another router knows it.
const maxTimeout = time.Minute

// admit checks the headers and the API key, and resolves the route, the workspace
// and the service.
func (x *exchange) admit() error {
	var err error
	if x.requestInfo, err = x.f.opts.Protocol.ParseRequest(x.r); err != nil {
		return err
	}
	config := x.view.Configuration
	if config == nil {
		return x.f.notReadyError("no configuration in force yet")
	}
	if x.received != nil && x.view.Revision < x.received.Revision {
		return errkind.New(errkind.NotReady, "the configuration has revision %d, and that of router %q is %d", x.view.Revision, x.received.Router, x.received.Revision)
	}
	if limit := config.Limits.HeaderBytes; limit > 0 && httpheader.RequestHeaderSize(x.r) > limit {
		return errkind.New(errkind.HeadersTooLarge, "the request line and headers exceed the limit of %d bytes", limit)
	}
	if x.confirmedAt == 0 {
		return x.f.notReadyError("the directory has not confirmed the configuration yet")
	}
	age := clock.SinceBoot() - x.confirmedAt
	fresh := age <= x.f.opts.MaxConfirmationAge
	if x.route = config.FindRoute(x.r.Host, x.r.URL.Path); x.route == nil {
		if !fresh {
			return x.staleError(age)
		}
		return errkind.New(errkind.NoRoute, "no route for host %q and the request path", x.r.Host)
	}
	if err := x.authenticate(config, fresh, age); err != nil {
		return err
	}
	x.requestHash = routing.Hash(x.requestInfo.ID)
	x.service = config.Service(x.route.ChooseService(routing.Fraction(x.requestHash)))
	if n := len(x.requestInfo.Prompt); x.route.Affinity && n > 0 {
		// The last part belongs to this request only. The part before it identifies
		// the session or subject, and its hash represents the whole shared prefix.
		for _, part := range x.requestInfo.Prompt[:max(1, n-1)] {
			x.prefixHashes = append(x.prefixHashes, routing.Hash(part.ID))
		}
		x.affinityKey = x.prefixHashes[len(x.prefixHashes)-1]
		for _, part := range x.sharedParts() {
			x.sharedTokens += part.Tokens
		}
	}
	return nil
}

// sharedParts returns the parts of the prompt that other requests may have as well.
func (x *exchange) sharedParts() []PromptPart {
	return x.requestInfo.Prompt[:max(0, len(x.requestInfo.Prompt)-1)]
}

func (x *exchange) staleError(age time.Duration) error {
	return errkind.New(errkind.NotReady, "the configuration is stale: it was last confirmed %s ago", age.Round(time.Millisecond)).WithRetryAfter(staleRetryAfter)
}

func (x *exchange) authenticate(config *catalog.Set, fresh bool, age time.Duration) error {
	if len(config.Workspaces) == 0 {
		return nil
	}
	if x.requestInfo.APIKey == "" && x.route.Anonymous {
		return nil
	}
	// A workspace may have gained or lost the key since. Without it, even a request of an anonymous route
	// would run for another caller than the one that sent it.
	if !fresh {
		return x.staleError(age)
	}
	if x.requestInfo.APIKey != "" {
		x.workspace = config.WorkspaceByKey(x.requestInfo.APIKey)
	}
	if x.workspace == nil && !x.route.Anonymous {
		return errkind.New(errkind.Unauthenticated, "the API key is missing or unknown")
	}
	return nil
}

func (x *exchange) readBody() error {
	limit := int64(0)
	if x.view.Configuration != nil {
		limit = x.view.Configuration.Limits.BodyBytes
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		return errkind.New(errkind.TooLarge, "the request body exceeds the limit of %d bytes", limit)
	}
	body, err := memory.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, x.reserveBody, x.releaseBody)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.TooLarge, "the request body exceeds the limit of %d bytes", limit)
	case errkind.Is(err, errkind.QueueFull):
		return err
	case err != nil && x.r.Context().Err() != nil:
		return errkind.New(errkind.ClientGone, "the client closed its connection before its request was read")
	case err != nil:
		return errkind.Wrap(err, errkind.BadRequest, "read the request body")
	}
	x.body, x.bodyRead = body, true
	x.fingerprint = routing.NewFingerprint([]byte(x.r.Method), []byte(x.r.Host), []byte(x.r.URL.RequestURI()), []byte(x.caller()), x.body)
	return nil
}

// caller names the sender of the request: its workspace, whose keys are all alike to backend
// servers, or else its key.
func (x *exchange) caller() string {
	if x.workspace != nil {
		return x.workspace.Name
	}
	return x.requestInfo.APIKey
}

// setSubjects sets what the request may be refused for, which depends on its service.
func (x *exchange) setSubjects() {
	for _, part := range x.sharedParts() {
		x.subjects = append(x.subjects, quarantine.PartOf(x.service.Name, part.ID))
	}
	x.subjects = append(x.subjects, quarantine.RequestOf(x.service.Name, x.fingerprint))
}

// defaultMaxBodyBytes limits a request body if the configuration has no limit.
const defaultMaxBodyBytes = 4 << 20

// maxFailedDials limits how many backend servers may turn out to be unreachable
// for one request.
const maxFailedDials = 4

// runAttempts makes attempts until the client has its response or no further
// attempt is allowed. It is the only place from which a request is retried.
func (x *exchange) runAttempts() error {
	for {
		if err := x.checkQuarantine(); err != nil {
			return x.fail(err)
		}
		if err := x.checkStopping(); err != nil {
			return x.fail(err)
		}
		res, err := x.nextAttempt()
		if err != nil {
			return x.fail(err)
		}
		if res.err == nil {
			return nil
		}
		x.anyMayHaveRun = x.anyMayHaveRun || res.mayHaveRun
		if x.ctx.Err() != nil || !res.retryable || !x.canRetry(res) {
			return x.fail(res.err)
		}
		if res.sent && !x.f.budgetFor(x.service.Name).allowRetry(x.f.opts.Fleet.Routers(), time.Now()) {
			return x.fail(errkind.Wrap(res.err, errkind.RetryBudget, "the retry budget of service %q is exhausted", x.service.Name))
		}
	}
}

// nextAttempt makes an attempt at a backend server or, if this router does not reach the
// servers, through another router. Its error means that there is nothing to attempt.
func (x *exchange) nextAttempt() (attemptResult, error) {
	if err := x.confirmBeginning(); err != nil {
		return attemptResult{}, err
	}
	if x.unreachable >= minUnreachable {
		if res, ok := x.handOffForServers(); ok {
			return res, nil
		}
	}
	picked, err := x.pick()
	if err != nil && len(x.askAgain) > 0 {
		x.excluded = slices.DeleteFunc(x.excluded, func(id string) bool { return slices.Contains(x.askAgain, id) })
		x.askAgain = nil
		picked, err = x.pick()
	}
	if err != nil {
		handOff := x.handOff
		switch {
		case errors.Is(err, placement.ErrUnreachable):
		case x.unreachable > 0:
			handOff = x.handOffForServers
		default:
			return attemptResult{}, err
		}
		if res, ok := handOff(); ok {
			return res, nil
		}
		return attemptResult{}, err
	}
	x.lastPicked = picked
	res := x.attempt(picked)
	if res.err != nil {
		x.f.logFailedAttempt(x, picked, res)
		x.checkCrash(picked, res)
		x.excluded = append(x.excluded, picked.ID)
		if res.sent && !slices.Contains(x.askAgain, picked.ID) {
			x.sentTo = append(x.sentTo, picked.ID)
		}
	}
	return res, nil
}

// attemptResult is the result of one attempt. A nil err means that the client has
// its response.
type attemptResult struct {
	err error
	// sent is false only if certainly no byte was sent.
	sent bool
	// mayHaveRun is false only if the attempt certainly did not run.
	mayHaveRun bool
	// retryable is set if an attempt at another backend server may succeed.
	retryable bool
	outcome   placement.Outcome
	// survived is set if the server is known to survive the request.
	survived bool
}

// canRetry reports whether another attempt is allowed.
func (x *exchange) canRetry(res attemptResult) bool {
	if x.sends >= x.route.MaxAttempts || x.failedDials >= maxFailedDials {
		return false
	}
	if res.mayHaveRun && x.f.opts.View.Suspected(x.subjects) {
		return false // Another server could end as well.
	}
	if x.headerSent {
		return x.route.Resumable && x.lastEventID != "" && !x.afterUnnumbered
	}
	return !x.anyMayHaveRun || x.route.Idempotent()
}
