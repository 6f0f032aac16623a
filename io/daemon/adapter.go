package daemon

import (
	"net/http"

	"bulrushlock/io/conf"
	"bulrushlock/io/loop"
	"bulrushlock/io/plat"
	"bulrushlock/io/serve"
	"bulrushlock/io/sock"
	"bulrushlock/io/xchg"
)

// Adapter is what a node speaks with the world outside.
type Adapter struct {
	// Reader reads the platform.
	Reader plat.Reader
	// Looker looks at the backend server.
	Looker serve.Looker
	// Dialect is that of callers and of the backend server.
	Dialect xchg.Dialect
	// Ready returns the handler that tells the platform whether the node is ready; nil
	// stands for one that answers 200 or 503.
	Ready func(ready func() bool) http.Handler
}

// Option changes how a node is put together.
type Option func(*Daemon)

// WithAdapter makes a node speak through a.
func WithAdapter(a Adapter) Option {
	return func(d *Daemon) {
		if a.Ready == nil {
			a.Ready = readiness
		}
		d.adapter = a
	}
}

// plainAdapter returns the adapter of the product's own dialect.
func plainAdapter(s *conf.Settings) Adapter {
	t := &http.Transport{DialContext: sock.NewDialer(dialTime).DialContext}
	return Adapter{
		Reader:  plat.NewHTTP(s.Platform, &http.Client{Transport: t}),
		Looker:  serve.NewHTTP(s.Server, &http.Client{}),
		Dialect: xchg.Plain{},
		Ready:   readiness,
	}
}

// readiness answers 200 while the node is ready, and 503 otherwise.
func readiness(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// WithDiary makes a node write down its decisions.
func WithDiary(l loop.Diary) Option { return func(d *Daemon) { d.diary = l } }
