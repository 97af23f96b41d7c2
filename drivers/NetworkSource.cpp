// Compiles the Boost.Asio and Boost.Beast implementations once: see
// BOOST_ASIO_SEPARATE_COMPILATION in CMakeLists.txt.

#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
