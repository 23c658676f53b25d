#include "version/configuration_parser.h"
