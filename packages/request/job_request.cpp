#include "request/job_request.h"
