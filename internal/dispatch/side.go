package dispatch

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
)

const sideCallTimeout = 2 * time.Second

// AttemptState is a backend server's word on an attempt.
type AttemptState string

// The states that a server can tell.
const (
	AttemptUnknown   AttemptState = "unknown-attempt"
	AttemptRunning   AttemptState = "running"
	AttemptCompleted AttemptState = "completed"
	AttemptFailed    AttemptState = "failed"
	// attemptUnasked is for a server that cannot be asked.
	attemptUnasked AttemptState = ""
)

type attemptBody struct {
	State AttemptState `json:"state"`
}

// sideCalls are the small calls to backend servers beside requests.
type sideCalls struct {
	client *http.Client
}

func newSideCalls(t http.RoundTripper) *sideCalls {
	return &sideCalls{client: &http.Client{
		Transport:     t,
		Timeout:       sideCallTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (s *sideCalls) base(address string) *sling.Sling {
	return sling.New().Client(s.client).Base("http://" + address)
}

// cancelStream tells the server to end a run that nobody reads any more. It
// reports whether the server agreed.
func (s *sideCalls) cancelStream(address, stream string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), sideCallTimeout)
	defer cancel()
	req, err := s.base(address).Delete("/v1/streams/" + url.PathEscape(stream)).Request()
	if err != nil {
		return false
	}
	resp, err := s.client.Do(req.WithContext(ctx))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2 || resp.StatusCode == http.StatusGone
}

// attemptState asks the server what became of an attempt. ok is false if no
// answer came.
func (s *sideCalls) attemptState(address, attempt string) (state AttemptState, ok bool) {
	req, err := s.base(address).Get("/v1/attempts/" + url.PathEscape(attempt)).Request()
	if err != nil {
		return attemptUnasked, false
	}
	var body attemptBody
	resp, err := s.base(address).Do(req, &body, nil)
	if resp == nil {
		return attemptUnasked, false
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return attemptUnasked, true
	}
	return body.State, true
}
