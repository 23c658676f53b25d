#include "connection/codec.h"
