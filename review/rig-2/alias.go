package main

import "net/http"

type (
	httpWriter  = http.ResponseWriter
	httpRequest = http.Request
)
