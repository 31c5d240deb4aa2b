package etcd_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/etcd"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against an answer, or a message of a watch, without end.
func TestResponseWithoutEnd(t *testing.T) {
	e := &standin.Endless{Begin: standin.EndlessBody + `{"result":{"x":"`, Part: "0123456789abcdef"}
	s := etcd.Store{URL: "http://store:80", Timeout: time.Minute, MaxAnswerBytes: 1 << 20,
		Client: &http.Client{Transport: bounded.Transport(&http.Transport{DialContext: e.Dial})}}
	_, err := s.Get(context.Background(), "k")
	require.True(t, bounded.IsTooLong(err), "%v", err)

	e = &standin.Endless{Begin: standin.EndlessBody + `{"result":{"x":"`, Part: "0123456789abcdef"}
	s.Client = &http.Client{Transport: bounded.Transport(&http.Transport{DialContext: e.Dial})}
	events, err := s.Watch(context.Background(), "k", 0)
	require.NoError(t, err)
	_, open := <-events
	require.False(t, open)
	require.LessOrEqual(t, e.Taken(), int64(2<<20))
}
