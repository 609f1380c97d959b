package http1

// Methods and status codes, by the names that net/http gives them. The proxy's program does without net/http, which
// would bring TLS and HTTP/2 into the memory of each proxy.
const (
	MethodConnect = "CONNECT"
	MethodGet     = "GET"
	MethodHead    = "HEAD"
	MethodPost    = "POST"
	MethodTrace   = "TRACE"

	StatusContinue              = 100
	StatusOK                    = 200
	StatusNoContent             = 204
	StatusNotModified           = 304
	StatusBadRequest            = 400
	StatusNotFound              = 404
	StatusRequestTimeout        = 408
	StatusConflict              = 409
	StatusRequestEntityTooLarge = 413
	StatusTooManyRequests       = 429
	StatusNotImplemented        = 501
	StatusBadGateway            = 502
	StatusServiceUnavailable    = 503
)
