package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in of a plain service. It counts the calls executed for each
// idempotency key, so that a test detects calls that ran twice.
type Service struct {
	// Delay is the duration of a call.
	Delay time.Duration

	mu      sync.Mutex
	effects map[string]int64
	fault   ServiceFault
}

// ServiceFault is a failure to inject.
type ServiceFault struct {
	// BreakAfterEffect is the number of next calls that take effect and then
	// break the connection without a response.
	BreakAfterEffect int `json:"break_after_effect"`
	// ErrorAfterEffect is the number of next calls that take effect and then
	// answer 500.
	ErrorAfterEffect int `json:"error_after_effect"`
}

// NewService returns a service that has executed no calls.
func NewService() *Service { return &Service{effects: map[string]int64{}} }

// SetFault replaces the failure to inject.
func (s *Service) SetFault(f ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Effects returns the number of executed calls for each idempotency key.
func (s *Service) Effects() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for k, n := range s.effects {
		out[k] = n
	}
	return out
}

// Handler returns the HTTP interface: any path echoes the request; /control/effects
// and /control/fault are for tests.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/effects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Effects()) })
	mux.HandleFunc("PUT /control/fault", func(w http.ResponseWriter, r *http.Request) {
		var f ServiceFault
		if readJSON(w, r, &f) {
			s.SetFault(f)
		}
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

// echo is the response to a call.
type echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.Delay)
	key := r.Header.Get("Idempotency-Key")
	breaks, fails := s.recordEffect(key)
	switch {
	case breaks:
		panic(http.ErrAbortHandler)
	case fails:
		http.Error(w, "failed after its effect", http.StatusInternalServerError)
	default:
		writeJSON(w, echo{Method: r.Method, Path: r.URL.RequestURI(), Key: key, Body: string(b)})
	}
}

func (s *Service) recordEffect(key string) (breaks, fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[key]++
	if s.fault.BreakAfterEffect > 0 {
		s.fault.BreakAfterEffect--
		return true, false
	}
	if s.fault.ErrorAfterEffect > 0 {
		s.fault.ErrorAfterEffect--
		return false, true
	}
	return false, false
}
