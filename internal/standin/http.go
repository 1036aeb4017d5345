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
	HeaderAttempt    = "X-Kq-Attempt"
	HeaderRequest    = "X-Request-Id"
	HeaderWorkspace  = "X-Workspace"
	HeaderKey        = "Idempotency-Key"
	HeaderRan        = "X-Kq-Ran"
	HeaderFence      = "X-Kq-Fence"
	HeaderStaleFence = "X-Kq-Stale-Fence"
	HeaderDeadline   = "X-Kq-Deadline-Ms"
	HeaderPriority   = "X-Kq-Priority"
	HeaderStream     = "X-Kq-Stream"
)

const maxBody = 8 << 20

// Handler returns the server's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/streams/{id}", s.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", s.cancel)
	mux.HandleFunc("GET /v1/attempts/{id}", s.askAttempt)
	mux.HandleFunc("GET /v1/cache/events", s.cacheEvents)
	mux.HandleFunc("GET /ledger", s.serveLedger)
	mux.HandleFunc("POST /standin/leave", func(w http.ResponseWriter, _ *http.Request) { s.Leave(); w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("POST /standin/turn-cold", func(w http.ResponseWriter, _ *http.Request) { s.TurnCold(); w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("/", s.serve)
	return mux
}

// serve takes every call of the service.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, err := s.readCall(r)
	if err != nil {
		refuse(w, c, http.StatusBadRequest)
		return
	}
	if s.conf.Profile.ChecksFence && c.key != "" && s.fenced(w, r, c) {
		return
	}
	c.fault = s.injector.Draw()
	if c.fault != FaultNone {
		s.add(Entry{Event: EventFault, Fault: string(c.fault), Attempt: c.attempt, Request: c.id})
	}
	if c.fault == FaultRefuse {
		s.add(Entry{Event: EventRefuse, Attempt: c.attempt, Request: c.id, Key: c.key})
		refuse(w, c, http.StatusServiceUnavailable)
		return
	}
	prev := s.swapPrevious(c.Request)
	if c.fault == FaultMisanswer {
		c.answer = Answer(prev)
	}
	buf := s.begin(c)
	if c.fault == FaultLate {
		sleepUntil(r.Context(), time.Now().Add(s.conf.Profile.Faults.LateBy))
	}
	echo := c.attempt
	if c.fault == FaultCross {
		echo = uuid.NewString()
	}
	w.Header().Set(HeaderAttempt, echo)
	if c.stream {
		s.writeStream(w, r, c, buf)
		return
	}
	s.writeWhole(w, r, c, buf)
}

func (s *Server) readCall(r *http.Request) (call, error) {
	c := call{
		Request:  Request{Workspace: r.Header.Get(HeaderWorkspace), Method: r.Method, Target: r.URL.RequestURI()},
		id:       r.Header.Get(HeaderRequest),
		attempt:  r.Header.Get(HeaderAttempt),
		key:      r.Header.Get(HeaderKey),
		tokens:   1,
		priority: atoi(r.Header.Get(HeaderPriority)),
		deadline: time.Duration(atoi(r.Header.Get(HeaderDeadline))) * time.Millisecond,
	}
	if c.attempt == "" {
		c.attempt = uuid.NewString()
	}
	if c.id == "" {
		c.id = c.attempt
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return c, err
	}
	c.Body = body
	c.answer = Answer(c.Request)
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

// fenced answers a call with an old fencing number; it reports whether it did.
func (s *Server) fenced(w http.ResponseWriter, r *http.Request, c call) bool {
	fence, err := strconv.ParseUint(r.Header.Get(HeaderFence), 10, 64)
	if err == nil && !s.staleFence(c.Workspace+"/"+c.key, fence) {
		return false
	}
	s.add(Entry{Event: EventRefuse, Attempt: c.attempt, Request: c.id, Key: c.key, Fault: "stale-fence"})
	w.Header().Set(HeaderStaleFence, "yes")
	refuse(w, c, http.StatusConflict)
	return true
}

func refuse(w http.ResponseWriter, c call, status int) {
	w.Header().Set(HeaderAttempt, c.attempt)
	w.Header().Set(HeaderRan, "no")
	w.WriteHeader(status)
}

// writeStream sends the answer as it grows. The run goes on if the reader is
// gone, so that another can resume it.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, c call, buf *buffer) {
	if s.fallen() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderStream, c.id)
	w.WriteHeader(http.StatusOK)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	limit := -1
	if c.fault == FaultCut {
		limit = s.injector.Offset(len(AnswerBytes(c.Request)))
	}
	if !buf.copyTo(r.Context(), w, 0, limit) {
		panic(http.ErrAbortHandler) // an answer that broke off must not look complete
	}
}

// writeWhole sends the answer when the run has ended. A model run is cancelled
// when its reader is gone; a plain call runs to its end.
func (s *Server) writeWhole(w http.ResponseWriter, r *http.Request, c call, buf *buffer) {
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
		_, _ = w.Write(p[:s.injector.Offset(len(p))])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(p)
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	k, ok := s.streams[r.PathValue("id")]
	s.mu.Unlock()
	offset := atoi(r.URL.Query().Get("offset"))
	if !ok || offset < 0 {
		w.WriteHeader(http.StatusGone)
		return
	}
	if _, done, whole, _ := k.buf.from(0); done && !whole {
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
	if !k.buf.copyTo(r.Context(), w, offset, -1) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	k, ok := s.streams[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	k.buf.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) askAttempt(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	events := s.engine.Events(time.Now(), uint64(atoi(r.URL.Query().Get("after"))))
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

func atoi(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return n
}
