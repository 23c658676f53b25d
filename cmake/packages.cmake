# Compile settings shared by all targets, and the function that declares a package.

add_library(sesamespar_settings INTERFACE)
# cpprestsdk defines a macro U(x), which breaks Boost.Outcome and Boost.Variant2.
target_compile_definitions(sesamespar_settings INTERFACE _TURN_OFF_PLATFORM_STRING GLOG_NO_ABBREVIATED_SEVERITIES
    RAPIDJSON_HAS_STDSTRING=1)
target_compile_options(sesamespar_settings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers)
option(SESAMESPAR_WERROR "Treat compiler warnings as errors" OFF)
if(SESAMESPAR_WERROR)
    target_compile_options(sesamespar_settings INTERFACE -Werror)
endif()
set(SESAMESPAR_SANITIZE "" CACHE STRING "Sanitizers to build with, for example address,undefined or thread")
if(SESAMESPAR_SANITIZE)
    target_compile_options(sesamespar_settings INTERFACE -fsanitize=${SESAMESPAR_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(sesamespar_settings INTERFACE -fsanitize=${SESAMESPAR_SANITIZE})
endif()
install(TARGETS sesamespar_settings EXPORT sesamespar-targets)

# Declares the package NAME from all .cpp files of the current folder. DEPENDS lists the targets that it links and
# whose headers it may include.
function(sesamespar_package NAME)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(sesamespar_${NAME} STATIC ${sources})
    target_include_directories(sesamespar_${NAME} PUBLIC
        $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/packages> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/sesamespar>)
    target_link_libraries(sesamespar_${NAME} PUBLIC sesamespar_settings ${ARG_DEPENDS})
    install(TARGETS sesamespar_${NAME} EXPORT sesamespar-targets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/sesamespar/${NAME}
            FILES_MATCHING PATTERN "*.h")
endfunction()
