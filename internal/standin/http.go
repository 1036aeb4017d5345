package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
)

// Headers between routers and backend servers.
const (
	HeaderAttempt        = "X-Kq-Attempt"
	HeaderRequestID      = "X-Request-Id"
	HeaderWorkspace      = "X-Workspace"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRan            = "X-Kq-Ran"
	HeaderFence          = "X-Kq-Fence"
	HeaderStaleFence     = "X-Kq-Stale-Fence"
	HeaderDeadline       = "X-Kq-Deadline-Ms"
	HeaderPriority       = "X-Kq-Priority"
	HeaderStream         = "X-Kq-Stream"
)

const maxBody = 8 << 20

// Handler returns the server's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/streams/{id}", s.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", s.serveCancel)
	mux.HandleFunc("GET /v1/attempts/{id}", s.serveAttemptState)
	mux.HandleFunc("GET /v1/cache/events", s.serveCacheEvents)
	mux.HandleFunc("GET /ledger", s.serveLedger)
	mux.HandleFunc("POST /standin/leave", func(w http.ResponseWriter, _ *http.Request) { s.Leave(); w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("POST /standin/turn-cold", func(w http.ResponseWriter, _ *http.Request) { s.TurnCold(); w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// serveCall handles every request of the simulated service.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	c, err := s.parseCall(r)
	if err != nil {
		refuse(w, c, http.StatusBadRequest)
		return
	}
	if s.conf.Profile.ChecksFence && c.key != "" && s.rejectStaleFence(w, r, c) {
		return
	}
	c.fault = s.injector.Draw()
	if c.fault != FaultNone {
		s.addEntry(Entry{Event: EventFault, Fault: string(c.fault), Attempt: c.attempt, Request: c.requestID})
	}
	if c.fault == FaultRefuse {
		s.addEntry(Entry{Event: EventRefuse, Attempt: c.attempt, Request: c.requestID, Key: c.key})
		refuse(w, c, http.StatusServiceUnavailable)
		return
	}
	prev := s.swapPreviousRequest(c.Request)
	if c.fault == FaultMisanswer {
		c.response = ResponseChunks(prev)
	}
	buf := s.beginRun(c)
	if c.fault == FaultLate {
		sleepUntil(r.Context(), time.Now().Add(s.conf.Profile.Faults.LateBy))
	}
	echoedAttempt := c.attempt
	if c.fault == FaultCross {
		echoedAttempt = uuid.NewString()
	}
	w.Header().Set(HeaderAttempt, echoedAttempt)
	if c.stream {
		s.writeStream(w, r, c, buf)
		return
	}
	s.writeResponse(w, r, c, buf)
}

func (s *Server) parseCall(r *http.Request) (call, error) {
	c := call{
		Request:   Request{Workspace: r.Header.Get(HeaderWorkspace), Method: r.Method, Target: r.URL.RequestURI()},
		requestID: r.Header.Get(HeaderRequestID),
		attempt:   r.Header.Get(HeaderAttempt),
		key:       r.Header.Get(HeaderIdempotencyKey),
		tokens:    1,
		priority:  atoiOrZero(r.Header.Get(HeaderPriority)),
		deadline:  time.Duration(atoiOrZero(r.Header.Get(HeaderDeadline))) * time.Millisecond,
	}
	if c.attempt == "" {
		c.attempt = uuid.NewString()
	}
	if c.requestID == "" {
		c.requestID = c.attempt
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return c, err
	}
	c.Body = body
	c.response = ResponseChunks(c.Request)
	if s.conf.Profile.Type != TypeModel || r.Method != http.MethodPost {
		return c, nil
	}
	var b ModelBody
	if err := json.Unmarshal(body, &b); err != nil {
		return c, err
	}
	c.stream = b.Stream && b.Messages != nil
	c.tokens = b.MaxTokens
	c.blocks = Blocks(b.Prompt())
	return c, nil
}

// rejectStaleFence responds with status 409 to a request whose fencing number is
// missing, invalid or lower than one seen for its key. It reports whether it did.
func (s *Server) rejectStaleFence(w http.ResponseWriter, r *http.Request, c call) bool {
	fence, err := strconv.ParseUint(r.Header.Get(HeaderFence), 10, 64)
	if err == nil && !s.isStaleFence(c.Workspace+"/"+c.key, fence) {
		return false
	}
	s.addEntry(Entry{Event: EventRefuse, Attempt: c.attempt, Request: c.requestID, Key: c.key, Fault: "stale-fence"})
	w.Header().Set(HeaderStaleFence, "yes")
	refuse(w, c, http.StatusConflict)
	return true
}

func refuse(w http.ResponseWriter, c call, status int) {
	w.Header().Set(HeaderAttempt, c.attempt)
	w.Header().Set(HeaderRan, "no")
	w.WriteHeader(status)
}

// writeStream writes the response as it grows. The run continues if the client
// disconnects, so that the stream can be resumed on another connection.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, c call, buf *responseBuffer) {
	if s.overloaded() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderStream, c.requestID)
	w.WriteHeader(http.StatusOK)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	limit := -1
	if c.fault == FaultCut {
		limit = s.injector.CutOffset(len(ResponseBytes(c.Request)))
	}
	if !buf.copyTo(r.Context(), w, 0, limit) {
		panic(http.ErrAbortHandler) // close the connection, so that a truncated response does not look complete
	}
}

// writeResponse writes the response once the run has ended. If the client
// disconnects, a model run is cancelled, whereas a plain call continues to its end.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, c call, buf *responseBuffer) {
	p, ok, err := buf.wait(r.Context())
	if err != nil {
		if s.conf.Profile.Type == TypeModel {
			buf.cancel()
		}
		panic(http.ErrAbortHandler)
	}
	if !ok {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(p)))
	if c.fault == FaultCut {
		_, _ = w.Write(p[:s.injector.CutOffset(len(p))])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(p)
}

func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stream, ok := s.streams[r.PathValue("id")]
	s.mu.Unlock()
	offset := atoiOrZero(r.URL.Query().Get("offset"))
	if !ok || offset < 0 {
		w.WriteHeader(http.StatusGone)
		return
	}
	if _, done, complete, _ := stream.buf.readFrom(0); done && !complete {
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderStream, r.PathValue("id"))
	if a := r.Header.Get(HeaderAttempt); a != "" {
		w.Header().Set(HeaderAttempt, a)
	}
	w.WriteHeader(http.StatusOK)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	if !stream.buf.copyTo(r.Context(), w, offset, -1) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stream, ok := s.streams[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	stream.buf.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveAttemptState(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	state := AttemptUnknown
	if a, ok := s.attempts[r.PathValue("id")]; ok {
		state = a.state
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		State AttemptState `json:"state"`
	}{state})
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	events := s.engine.Events(time.Now(), uint64(atoiOrZero(r.URL.Query().Get("after"))))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/jsonl")
	enc := json.NewEncoder(w)
	for _, e := range events {
		_ = enc.Encode(e)
	}
}

func (s *Server) serveLedger(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	_ = s.ledger.WriteTo(w, s.conf.Name)
}

func atoiOrZero(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return n
}
